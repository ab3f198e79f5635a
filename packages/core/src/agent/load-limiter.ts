import {initialLoadMs} from './constants.js';
import {ignore} from './ignore.js';

/** Decides when the next adapter load may start. */
export type LoadLimiter = {
	/** Time from which a load may start, or undefined while one in flight must end first. */
	nextStartAt(inFlight: number): number | undefined;
	onStarted(now: number): void;
	onCompleted(tookMs: number): void;
	onFailed(): void;
	/** Expected time of a load. */
	expectedLoadMs(): number;
};

const largestWindow = 4;
const smallestWindow = 0.1;
const growthPerLoad = 0.2;
const decreaseFactor = 0.5;
const congestedFactor = 2;
const averageWeight = 0.2;
const baseGrowthPerLoad = 1.01;

/**
 * Additive increase, multiplicative decrease of the loads in flight, by the load times seen.
 * Agents share the weight store without a common counter: each takes longer loads as its congestion signal.
 * A window under one load spaces the starts further apart than a load takes.
 */
export class AdaptiveLoadLimiter implements LoadLimiter {
	static create(): AdaptiveLoadLimiter {
		return new AdaptiveLoadLimiter();
	}

	private _window = 1;
	private _baseMs: number | undefined;
	private _averageMs = initialLoadMs;
	private _lastStartAt = Number.NEGATIVE_INFINITY;

	private constructor() {}

	nextStartAt(inFlight: number): number | undefined {
		return inFlight >= Math.max(1, Math.floor(this._window))
			? undefined
			: this._lastStartAt + this._gapMs();
	}

	onStarted(now: number): void {
		this._lastStartAt = now;
	}

	onCompleted(tookMs: number): void {
		this._averageMs += averageWeight * (tookMs - this._averageMs);
		// The base drifts upwards, so that a store that became slower for good is accepted in time.
		this._baseMs = Math.min(
			tookMs,
			(this._baseMs ?? tookMs) * baseGrowthPerLoad,
		);
		if (tookMs > congestedFactor * this._baseMs) {
			this.onFailed();
			return;
		}

		this._window = Math.min(largestWindow, this._window + growthPerLoad);
	}

	onFailed(): void {
		this._window = Math.max(smallestWindow, this._window * decreaseFactor);
	}

	expectedLoadMs(): number {
		return Math.max(this._averageMs, this._gapMs());
	}

	private _gapMs(): number {
		return (this._baseMs ?? initialLoadMs) / this._window;
	}
}

/** Creates a limiter that starts each load at once, for comparison. */
export function createUnlimitedLoads(): LoadLimiter {
	return {
		nextStartAt: () => Number.NEGATIVE_INFINITY,
		onStarted: ignore,
		onCompleted: ignore,
		onFailed: ignore,
		expectedLoadMs: () => initialLoadMs,
	};
}
