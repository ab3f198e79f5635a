/** A jump of the wall clock by less than this is taken for an adjustment. */
const jumpMs = 20;

/** Clocks of the process, in milliseconds. */
export type ClockPair = {
	readonly monotonic: () => number;
	readonly wall: () => number;
};

/**
 * The process's monotonic clock, with the time that it missed.
 * A machine that is suspended may stop the monotonic clock; the wall clock then shows the jump.
 */
export class MonotonicClock {
	static create(clocks: ClockPair): MonotonicClock {
		return new MonotonicClock(clocks);
	}

	private _offset: number;

	private constructor(private readonly _clocks: ClockPair) {
		this._offset = _clocks.wall() - _clocks.monotonic();
	}

	now(): number {
		return this._clocks.monotonic();
	}

	/** Time that the wall clock counted and the monotonic clock did not, since the last call. */
	takeJumpMs(): number {
		const offset = this._clocks.wall() - this._clocks.monotonic();
		const jumpedMs = offset - this._offset;
		if (jumpedMs >= 0 && jumpedMs < jumpMs) {
			return 0;
		}

		this._offset = offset;
		return Math.max(0, jumpedMs);
	}
}
