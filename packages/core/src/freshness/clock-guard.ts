import {suspensionThresholdMs} from './constants.js';

/**
 * Detects that the monotonic clock may have stopped while the host was suspended. The monotonic clock does not count
 * that time, but the wall clock does, so a forward jump of the wall clock counts as a suspension.
 */
export class ClockGuard {
	static create(now: number, timeOfDay: number): ClockGuard {
		return new ClockGuard(timeOfDay - now);
	}

	private _epoch = 0;

	private constructor(private _offset: number) {}

	/** Incremented on each suspension. Monotonic timestamps from an earlier epoch can't be trusted. */
	get epoch(): number {
		return this._epoch;
	}

	/**
	 * Returns whether the host may have been suspended since the last call.
	 *
	 * @param now monotonic time in milliseconds
	 * @param timeOfDay wall-clock time in milliseconds
	 */
	look(now: number, timeOfDay: number): boolean {
		const offset = timeOfDay - now;
		const isSuspended = offset - this._offset > suspensionThresholdMs;
		this._offset = offset;
		if (isSuspended) {
			this._epoch++;
		}

		return isSuspended;
	}
}
