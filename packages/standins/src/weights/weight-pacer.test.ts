import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {WeightPacer} from './weight-pacer.js';

describe('WeightPacer', () => {
	it('starts four loads per second that take 250 ms each', () => {
		const pacer = WeightPacer.create();
		assert.deepEqual(
			[0, 0, 0, 0].map(now => pacer.begin(now)),
			[250, 500, 750, 1000],
		);
	});

	it('slows loads down when more than eight are in flight', () => {
		const pacer = WeightPacer.create(1000);
		for (let i = 0; i < 15; i++) {
			pacer.begin(0);
		}

		assert.ok(pacer.begin(1000) >= 500);
	});
});
