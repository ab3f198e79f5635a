import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MonotonicClock} from './monotonic-clock.js';

function createClocks() {
	const times = {monotonic: 100, wall: 1_000_000};
	const clock = MonotonicClock.create({
		monotonic: () => times.monotonic,
		wall: () => times.wall,
	});
	return {times, clock};
}

describe('MonotonicClock', () => {
	describe('when the wall clock jumps ahead', () => {
		it('returns the missed time once', () => {
			const {times, clock} = createClocks();
			times.monotonic += 5;
			times.wall += 3605;
			assert.equal(clock.takeJumpMs(), 3600);
			assert.equal(clock.takeJumpMs(), 0);
		});

		it('accumulates small steps', () => {
			const {times, clock} = createClocks();
			times.wall += 15;
			assert.equal(clock.takeJumpMs(), 0);
			times.wall += 15;
			assert.equal(clock.takeJumpMs(), 30);
		});
	});

	describe('when the wall clock is set back', () => {
		it('returns 0 and measures from the new time', () => {
			const {times, clock} = createClocks();
			times.wall -= 60_000;
			assert.equal(clock.takeJumpMs(), 0);
			times.wall += 1000;
			assert.equal(clock.takeJumpMs(), 1000);
		});
	});
});
