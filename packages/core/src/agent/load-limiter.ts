import {initialLoadMs} from './constants.js';
import {ignore} from './ignore.js';

/** Decides when the next adapter load may start. */
export type LoadLimiter = {
	/** Returns the earliest time for the next load, or undefined while a load in flight must end first. */
	nextStartAt(inFlight: number): number | undefined;
	onStarted(now: number): void;
	onCompleted(loadMs: number, now: number): void;
	onFailed(now: number): void;
	/** Expected time in milliseconds until an adapter version is loaded if `loadsBefore` others load first. */
	expectedLoadMs(loadsBefore: number, now: number): number;
};

const initialLoadsPerSecond = 4;
const maxLoadsPerSecond = 8;
const minLoadsPerSecond = 0.05;
/** Growth of the rate, in loads per second per second. */
const growthPerSecond = 0.12;
/** Fraction by which the rate decreases after a failed load. */
const failureDecrease = 0.3;
/** Largest fraction by which the rate decreases at once. */
const maxDecrease = 0.5;
/** Factor from a slow load's relative excess over the target time to the rate decrease. */
const decreaseGain = 0.1;
/** Target load time as a multiple of the uncongested time. A slower load indicates a congested weight store. */
const congestedFactor = 2;
const maxInFlight = 3;
/** A load that takes this multiple of the average counts as stuck and no longer delays the next load. */
const stuckFactor = 3;
/** Loads that may start in a burst after a pause. */
const burstLoads = 2;
/** Weight of a new load in the moving average of load times. */
const averageWeight = 0.2;
/** Factor by which the uncongested time drifts upwards with each load. */
const baseGrowthPerLoad = 1.01;
const secondMs = 1000;

/**
 * AIMD (additive increase, multiplicative decrease) control of the load rate from load times.
 * Agents share the weight store without coordination: each takes slower loads as its congestion signal.
 * Delayed loads wait at the agents, where they can still be reordered or dropped, rather than in the weight store.
 */
export class AdaptiveLoadLimiter implements LoadLimiter {
	static create(): AdaptiveLoadLimiter {
		return new AdaptiveLoadLimiter();
	}

	private _loadsPerSecond = initialLoadsPerSecond;
	/** Load time without congestion. */
	private _baseMs: number | undefined;
	private _averageMs = initialLoadMs;
	private _lastStartAt = Number.NEGATIVE_INFINITY;
	private _lastDecreaseAt = Number.NEGATIVE_INFINITY;
	/** Start time of the next load if all loads were evenly spaced, ignoring the burst allowance. */
	private _nextAt = Number.NEGATIVE_INFINITY;

	private constructor() {}

	nextStartAt(inFlight: number): number | undefined {
		const pacedAt = this._nextAt - (burstLoads - 1) * this._spacingMs();
		if (inFlight === 0) {
			return pacedAt;
		}

		return inFlight >= maxInFlight
			? undefined
			: Math.max(pacedAt, this._lastStartAt + stuckFactor * this._averageMs);
	}

	onStarted(now: number): void {
		this._lastStartAt = now;
		const earliest = now - (burstLoads - 1) * this._spacingMs();
		this._nextAt = Math.max(this._nextAt, earliest) + this._spacingMs();
	}

	onCompleted(loadMs: number, now: number): void {
		this._averageMs += averageWeight * (loadMs - this._averageMs);
		// The upward drift adapts to a weight store that has become slower permanently.
		this._baseMs = Math.min(
			loadMs,
			(this._baseMs ?? loadMs) * baseGrowthPerLoad,
		);
		const targetMs = congestedFactor * this._baseMs;
		if (loadMs > targetMs) {
			const excess = (loadMs - targetMs) / loadMs;
			this._decreaseRate(decreaseGain * excess, now - loadMs, now);
			return;
		}

		this._loadsPerSecond = Math.min(
			maxLoadsPerSecond,
			this._loadsPerSecond + growthPerSecond / this._loadsPerSecond,
		);
	}

	onFailed(now: number): void {
		this._decreaseRate(failureDecrease, now, now);
	}

	expectedLoadMs(loadsBefore: number, now: number): number {
		const burstMs = (burstLoads - 1) * this._spacingMs();
		const startMs = Math.max(0, this._nextAt - burstMs - now);
		return startMs + loadsBefore * this._spacingMs() + this._averageMs;
	}

	/** Decreases the rate, unless the load started before the last decrease and doesn't reflect the current rate. */
	private _decreaseRate(
		decrease: number,
		startedAt: number,
		now: number,
	): void {
		if (startedAt < this._lastDecreaseAt) {
			return;
		}

		// Loads usually run one at a time, so the actual rate has not exceeded that of the last load.
		const reachedPerSecond = secondMs / Math.max(1, now - startedAt);
		this._lastDecreaseAt = now;
		this._loadsPerSecond = Math.max(
			minLoadsPerSecond,
			Math.min(this._loadsPerSecond, reachedPerSecond) *
				(1 - Math.min(maxDecrease, decrease)),
		);
	}

	private _spacingMs(): number {
		return secondMs / this._loadsPerSecond;
	}
}

/** Creates a limiter that starts each load immediately, as a baseline for comparison. */
export function createUnlimitedLoadLimiter(): LoadLimiter {
	return {
		nextStartAt: () => Number.NEGATIVE_INFINITY,
		onStarted: ignore,
		onCompleted: ignore,
		onFailed: ignore,
		expectedLoadMs: () => initialLoadMs,
	};
}
