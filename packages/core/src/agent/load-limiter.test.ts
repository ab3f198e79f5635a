import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {AdaptiveLoadLimiter} from './load-limiter.js';

/** Runs loads of `loadMs` one at a time and returns how many start within `totalMs`. */
function loadsWithin(
	limiter: AdaptiveLoadLimiter,
	loadMs: number,
	totalMs: number,
	startAt = 0,
): number {
	let now = startAt;
	let loads = 0;
	while (now < startAt + totalMs) {
		now = Math.max(now, limiter.nextStartAt(0) ?? now);
		limiter.onStarted(now);
		now += loadMs;
		limiter.onCompleted(loadMs, now);
		loads++;
	}

	return loads;
}

describe('AdaptiveLoadLimiter', () => {
	describe('with an uncongested weight store', () => {
		it('runs loads back to back', () => {
			const loads = loadsWithin(AdaptiveLoadLimiter.create(), 250, 10_000);
			assert.ok(loads >= 38, `${loads}`);
		});
	});

	describe('with a congested weight store', () => {
		it('slows down, and speeds up again after the congestion', () => {
			const limiter = AdaptiveLoadLimiter.create();
			loadsWithin(limiter, 250, 5000);
			const congested = loadsWithin(limiter, 2000, 60_000, 5000);
			assert.ok(congested <= 20, `${congested} of 30 possible`);
			const recovered = loadsWithin(limiter, 250, 30_000, 200_000);
			assert.ok(recovered >= 40, `${recovered}`);
		});
	});

	describe('with a stuck load', () => {
		it('allows the next one after three times the average', () => {
			const limiter = AdaptiveLoadLimiter.create();
			limiter.onStarted(0);
			const next = limiter.nextStartAt(1)!;
			assert.ok(next >= 750 && next < 1000, `${next}`);
			assert.equal(limiter.nextStartAt(3), undefined);
		});
	});
});
