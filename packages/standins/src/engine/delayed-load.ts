/** Requests on an engine at one time. */
export type Load = {readonly running: number; readonly waiting: number};

const lagMs = 1000;

/** The load as the engine reports it: a second late. */
export class LaggingLoad {
	static create(): LaggingLoad {
		return new LaggingLoad();
	}

	private _samples: ReadonlyArray<{readonly at: number; readonly load: Load}>;

	private constructor() {
		this._samples = [];
	}

	note(load: Load, now: number): void {
		this._samples = [...this._samplesFrom(now), {at: now, load}];
	}

	report(now: number): Load {
		const old = this._samples.findLast(sample => sample.at <= now - lagMs);
		return old?.load ?? {running: 0, waiting: 0};
	}

	/** Samples that still matter: the newest old one and all within the lag. */
	private _samplesFrom(
		now: number,
	): ReadonlyArray<{readonly at: number; readonly load: Load}> {
		const newestOld = this._samples.findLastIndex(
			sample => sample.at <= now - lagMs,
		);
		return this._samples.slice(Math.max(0, newestOld));
	}
}
