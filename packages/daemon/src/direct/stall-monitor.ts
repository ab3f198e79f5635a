/** Time between two checks from which the process counts as stalled, in milliseconds. */
const minStallMs = 1000;

/**
 * Time without a check from which requests may be read long after they were sent, in milliseconds: an interval of checks
 * and a delay that matters to callers.
 */
const minLateReadMs = 400;

/** Time after a stall in which requests from before its end may still be read, in milliseconds. */
const catchUpMs = 1000;

/** Measures the time in which this process did not run, as it was stopped or got no processor. */
export class StallMonitor {
	static create(now: number): StallMonitor {
		return new StallMonitor(now);
	}

	private _stalledMs = 0;
	/** Time until which requests may be read long after they were sent. */
	private _caughtUpAt = Number.NEGATIVE_INFINITY;

	private constructor(private _checkedAt: number) {}

	/** Returns the total time in which the process was stalled, in milliseconds. Has to be called several times a second. */
	check(now: number): number {
		const sinceMs = now - this._checkedAt;
		if (sinceMs >= minLateReadMs) {
			this._caughtUpAt = now + catchUpMs;
		}

		this._checkedAt = now;
		if (sinceMs >= minStallMs) {
			this._stalledMs += sinceMs;
		}

		return this._stalledMs;
	}

	/** Whether a request that is read now may have been sent during a stall, long before. */
	isCatchingUp(now: number): boolean {
		return now - this._checkedAt >= minLateReadMs || now < this._caughtUpAt;
	}
}
