/** Numbers of running and waiting requests on an engine. */
export type Load = {readonly running: number; readonly waiting: number};

const reportDelayMs = 1000;

/** An engine's load as it reports it, with a delay of one second. */
export class DelayedLoad {
	static create(): DelayedLoad {
		return new DelayedLoad();
	}

	private _samples: ReadonlyArray<{readonly at: number; readonly load: Load}>;

	private constructor() {
		this._samples = [];
	}

	record(load: Load, now: number): void {
		this._samples = [...this._relevantSamples(now), {at: now, load}];
	}

	/** Returns the load as it was `reportDelayMs` before `now`. */
	report(now: number): Load {
		const old = this._samples.findLast(
			sample => sample.at <= now - reportDelayMs,
		);
		return old?.load ?? {running: 0, waiting: 0};
	}

	/** Samples that a later report can need: the newest one older than the delay and all after it. */
	private _relevantSamples(
		now: number,
	): ReadonlyArray<{readonly at: number; readonly load: Load}> {
		const newestReportable = this._samples.findLastIndex(
			sample => sample.at <= now - reportDelayMs,
		);
		return this._samples.slice(Math.max(0, newestReportable));
	}
}
