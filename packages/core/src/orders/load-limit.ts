import {
	initialLoadsPerEngine,
	loadLimitGain,
	maxLoadDurations,
	minLoadLimitPerEngine,
	slowedLoadRatio,
} from './constants.js';

/** A finished load from the weight store. */
export type FinishedLoad = {
	readonly durationMs: number;
	/** Concurrent loads over all engines when it began. */
	readonly loads: number;
};

/**
 * Estimates how many loads the weight store serves at full speed. Beyond that number each load takes longer in
 * proportion, so the durations of this engine's loads against those of the whole fleet show it.
 */
export class LoadLimit {
	static create(): LoadLimit {
		return new LoadLimit();
	}

	private _durations: readonly number[] = [];
	/** Undefined until a load showed more than the initial assumption. */
	private _limit: number | undefined;

	private constructor() {}

	/** Estimated number of concurrent loads over all engines at full speed. */
	limit(engines: number): number {
		return Math.max(
			this._limit ?? engines * initialLoadsPerEngine,
			engines * minLoadLimitPerEngine,
			1,
		);
	}

	note({durationMs, loads}: FinishedLoad, engines: number): void {
		this._durations = [...this._durations, durationMs].slice(-maxLoadDurations);
		const ratio = durationMs / Math.min(...this._durations);
		const limit = this.limit(engines);
		if (ratio >= slowedLoadRatio) {
			this._moveTo(Math.min(limit, loads / ratio), limit);
		} else if (loads > limit) {
			this._moveTo(loads, limit);
		}
	}

	private _moveTo(target: number, limit: number): void {
		this._limit = limit + loadLimitGain * (target - limit);
	}
}
