import {suspensionThresholdMs} from './constants.js';

/**
 * Detects that the monotonic clock may have stopped while the host was suspended. The monotonic clock does not count
 * that time, but the wall clock does, so a forward jump of the wall clock counts as a suspension.
 */
export class SuspensionDetector {
	static create(now: number, wallClockMs: number): SuspensionDetector {
		return new SuspensionDetector(wallClockMs - now);
	}

	private _epoch = 0;

	private constructor(private _offset: number) {}

	/** Number of suspensions so far. Monotonic timestamps from an earlier epoch can't be trusted. */
	get epoch(): number {
		return this._epoch;
	}

	/**
	 * Returns whether the host may have been suspended since the last call.
	 *
	 * @param now monotonic time in milliseconds
	 * @param wallClockMs wall-clock time in milliseconds
	 */
	check(now: number, wallClockMs: number): boolean {
		const offset = wallClockMs - now;
		const isSuspended = offset - this._offset > suspensionThresholdMs;
		this._offset = offset;
		if (isSuspended) {
			this._epoch++;
		}

		return isSuspended;
	}
}
