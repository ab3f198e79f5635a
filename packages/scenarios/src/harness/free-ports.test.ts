import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {freePorts} from './free-ports.js';

describe('freePorts', () => {
	it('does not name a port again to a process that starts beside the one that it was given to', async () => {
		const ports: number[] = [];
		for (let i = 0; i < 200; i++) {
			// Processes of a fleet ask one after the other.
			// eslint-disable-next-line no-await-in-loop
			ports.push(...(await freePorts(3)));
		}

		assert.equal(new Set(ports).size, ports.length);
	});
});
