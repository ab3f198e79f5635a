import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {freePorts} from './free-ports.js';

describe('freePorts', () => {
	it('does not return a port twice before a process listens on it', async () => {
		const ports: number[] = [];
		for (let i = 0; i < 200; i++) {
			// A fleet requests the ports of its processes one after the other.
			// eslint-disable-next-line no-await-in-loop
			ports.push(...(await freePorts(3)));
		}

		assert.equal(new Set(ports).size, ports.length);
	});
});
