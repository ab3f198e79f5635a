import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RetryFleet, retryLimit} from './retry-fleet.testing.js';

for (const size of [4, 24, 68]) {
	describe(`retries of ${size} entries whose servers refuse each request`, () => {
		const assertWithinLimit = (fleet: RetryFleet): void => {
			const {worst} = fleet;
			assert.ok(fleet.retries > 0, 'no retry was sent');
			assert.ok(worst.excess <= 0, JSON.stringify(worst));
		};

		it('stay within the limit, and use most of the share of requests, without a restart', () => {
			const fleet = RetryFleet.create(size);
			fleet.runFor(3 * retryLimit.windowMs);
			assertWithinLimit(fleet);
			const {worst} = fleet;
			assert.ok(
				worst.retries >= 0.7 * retryLimit.ratio * worst.requests,
				JSON.stringify(worst),
			);
		});

		// These guard against processes that don't know which retries an earlier one has sent (BUDGET).
		for (const [times, gapMs] of [
			[1, 1500],
			[6, 1500],
			[20, 300],
		] as const) {
			it(`stay within the limit if all are killed together ${times} times, ${gapMs} ms apart`, () => {
				const fleet = RetryFleet.create(size);
				fleet.runFor(5000);
				for (let i = 0; i < times; i++) {
					fleet.restart();
					fleet.runFor(gapMs);
				}

				fleet.runFor(2 * retryLimit.windowMs);
				assertWithinLimit(fleet);
			});
		}

		it('stay within the limit if one after the other is killed, 300 ms apart', () => {
			const fleet = RetryFleet.create(size);
			fleet.runFor(5000);
			for (let i = 0; i < 100; i++) {
				fleet.restart([i % size]);
				fleet.runFor(300);
			}

			assertWithinLimit(fleet);
		});

		it('has its whole fixed part one window after a restart', () => {
			const retriesOf = (isRestarted: boolean): number => {
				const fleet = RetryFleet.create(size);
				if (isRestarted) {
					fleet.restart();
				}

				fleet.runFor(2 * retryLimit.windowMs);
				const before = fleet.retries;
				fleet.runFor(retryLimit.windowMs);
				return fleet.retries - before;
			};

			assert.equal(retriesOf(true), retriesOf(false));
		});
	});
}
