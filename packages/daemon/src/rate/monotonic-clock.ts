/** Minimum forward jump of the wall clock that is reported, in milliseconds. Smaller jumps add up until they reach it. */
const minJumpMs = 20;

/** Monotonic clock and wall clock of the process, in milliseconds. */
export type ClockPair = {
	readonly monotonic: () => number;
	readonly wall: () => number;
};

/**
 * The process's monotonic clock. Also detects time that it did not count: it may stop while the
 * machine is suspended, and the wall clock then jumps ahead of it.
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

	/** Returns the time that the wall clock counted and the monotonic clock did not, in milliseconds. Reports each jump once. */
	takeJumpMs(): number {
		const offset = this._clocks.wall() - this._clocks.monotonic();
		const jumpedMs = offset - this._offset;
		if (jumpedMs >= 0 && jumpedMs < minJumpMs) {
			return 0;
		}

		this._offset = offset;
		return Math.max(0, jumpedMs);
	}
}
