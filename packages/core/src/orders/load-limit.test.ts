import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../common/random.js';
import {initialLoadsPerEngine} from './constants.js';
import {LoadLimit} from './load-limit.js';

const fullSpeedMs = 250;
const engines = 30;

/** Loads of one engine while the fleet has random numbers of loads under way. Returns the estimate. */
function estimateAfter(storeLimit: number, loadCount: number): number {
	const random = createRandom(7);
	const limit = LoadLimit.create();
	for (let i = 0; i < loadCount; i++) {
		const loads = Math.ceil(2 * storeLimit * random());
		const pollMs = 25 * random();
		const durationMs = fullSpeedMs * Math.max(1, loads / storeLimit) + pollMs;
		limit.note({durationMs, loads}, engines);
	}

	return limit.limit(engines);
}

describe('LoadLimit', () => {
	for (const factor of [0.25, 1, 4]) {
		it(`converges within 60 loads on a store of ${factor} times the assumed loads`, () => {
			const storeLimit = factor * initialLoadsPerEngine * engines;
			const estimate = estimateAfter(storeLimit, 60);
			assert.ok(
				estimate > 0.7 * storeLimit && estimate < 1.4 * storeLimit,
				`${estimate} of ${storeLimit}`,
			);
		});
	}

	it('assumes a cautious number before the first load', () => {
		const limit = LoadLimit.create();
		assert.equal(limit.limit(engines), engines * initialLoadsPerEngine);
	});

	it('changes little by a single slow load', () => {
		const limit = LoadLimit.create();
		limit.note({durationMs: 250, loads: 1}, engines);
		limit.note({durationMs: 5000, loads: 2}, engines);
		assert.ok(limit.limit(engines) > 0.8 * engines * initialLoadsPerEngine);
	});
});
