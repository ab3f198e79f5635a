/** Time between two checks from which the process counts as stalled, in milliseconds. */
const minStallMs = 1000;

/** Measures the time in which this process did not run, as it was stopped or got no processor. */
export class StallMonitor {
	static create(now: number): StallMonitor {
		return new StallMonitor(now);
	}

	private _stalledMs = 0;

	private constructor(private _checkedAt: number) {}

	/** Returns the total time in which the process was stalled, in milliseconds. Has to be called several times a second. */
	check(now: number): number {
		const sinceMs = now - this._checkedAt;
		this._checkedAt = now;
		if (sinceMs >= minStallMs) {
			this._stalledMs += sinceMs;
		}

		return this._stalledMs;
	}
}
