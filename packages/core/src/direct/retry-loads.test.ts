import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RetryFleet, retryLimit} from './retry-fleet.testing.js';

/** Time between two requests of one entry, in milliseconds, at which most retries are of the fixed part. */
const rarePauseMs = 500;

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

		// This and the next ones guard against entries that divide the fixed part by too few (BUDGET).
		it("stay within the limit if all are killed and the members table can't be read for 30 s", () => {
			const fleet = RetryFleet.create(size, rarePauseMs);
			fleet.runFor(5000);
			fleet.isTableReadable = false;
			fleet.restart();
			fleet.runFor(3 * retryLimit.windowMs);
			assertWithinLimit(fleet);
		});

		it('stay within the limit if twice as many join at once', () => {
			const fleet = RetryFleet.create(size, rarePauseMs);
			fleet.runFor(5000);
			fleet.join(2 * size);
			fleet.runFor(3 * retryLimit.windowMs);
			assertWithinLimit(fleet);
		});

		it('stay within the limit if three quarters leave', () => {
			const fleet = RetryFleet.create(size, rarePauseMs);
			fleet.runFor(5000);
			fleet.leave(Array.from({length: (3 * size) / 4}, (_, i) => i));
			fleet.runFor(3 * retryLimit.windowMs);
			assertWithinLimit(fleet);
		});

		it('stay within the limit if half of them leave and come back, in turn', () => {
			const fleet = RetryFleet.create(size, rarePauseMs);
			fleet.runFor(5000);
			const halves = [0, 1].map(half =>
				Array.from({length: size / 2}, (_, i) => 2 * i + half),
			);
			for (let i = 0; i < 6; i++) {
				const half = halves[i % 2]!;
				fleet.leave(half);
				fleet.runFor(2000);
				fleet.comeBack(half);
				fleet.runFor(1000);
			}

			assertWithinLimit(fleet);
		});

		it('stay within the limit if a quarter is cut off while a quarter more join', () => {
			const fleet = RetryFleet.create(size, rarePauseMs);
			fleet.runFor(5000);
			const cut = Array.from({length: size / 4}, (_, i) => i);
			fleet.setCut(cut, true);
			fleet.join(size / 4);
			fleet.runFor(2 * retryLimit.windowMs);
			fleet.setCut(cut, false);
			fleet.runFor(2 * retryLimit.windowMs);
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
