import {initialLoadMs} from './constants.js';
import {ignore} from './ignore.js';

/** Decides when the next adapter load may start. */
export type LoadLimiter = {
	/** Time from which a load may start, or undefined while one in flight must end first. */
	nextStartAt(inFlight: number): number | undefined;
	onStarted(now: number): void;
	onCompleted(tookMs: number, now: number): void;
	onFailed(now: number): void;
	/** Expected time until an adapter version is loaded that comes after so many others. */
	expectedLoadMs(loadsBefore: number, now: number): number;
};

const initialLoadsPerSecond = 4;
const largestLoadsPerSecond = 8;
const smallestLoadsPerSecond = 0.05;
/** Growth of the rate in each second, in loads a second. */
const growthPerSecond = 0.12;
const failureDecrease = 0.3;
const mostDecrease = 0.5;
/** Share of the time beyond the target by which the rate goes down. */
const decreaseGain = 0.1;
/** A load that takes so much longer than an uncongested one shows that the weight store is congested. */
const congestedFactor = 2;
const mostInFlight = 3;
/** A load that takes so many times the average is stuck and no longer holds up the next. */
const stuckFactor = 3;
/** Loads that may start without spacing after a pause. */
const burstLoads = 2;
const averageWeight = 0.2;
const baseGrowthPerLoad = 1.01;
const secondMs = 1000;

/**
 * Additive increase, multiplicative decrease of the load rate, by the load times seen.
 * Agents share the weight store without a common counter: each takes longer loads as its congestion signal.
 * What can't be loaded in time waits at the agents, where it can still be reordered or given up,
 * and not in the weight store.
 */
export class AdaptiveLoadLimiter implements LoadLimiter {
	static create(): AdaptiveLoadLimiter {
		return new AdaptiveLoadLimiter();
	}

	private _loadsPerSecond = initialLoadsPerSecond;
	private _baseMs: number | undefined;
	private _averageMs = initialLoadMs;
	private _lastStartAt = Number.NEGATIVE_INFINITY;
	private _slowedDownAt = Number.NEGATIVE_INFINITY;
	/** Time at which the next load would start if all loads were spaced evenly. */
	private _nextAt = Number.NEGATIVE_INFINITY;

	private constructor() {}

	nextStartAt(inFlight: number): number | undefined {
		const pacedAt = this._nextAt - (burstLoads - 1) * this._gapMs();
		if (inFlight === 0) {
			return pacedAt;
		}

		return inFlight >= mostInFlight
			? undefined
			: Math.max(pacedAt, this._lastStartAt + stuckFactor * this._averageMs);
	}

	onStarted(now: number): void {
		this._lastStartAt = now;
		const earliest = now - (burstLoads - 1) * this._gapMs();
		this._nextAt = Math.max(this._nextAt, earliest) + this._gapMs();
	}

	onCompleted(tookMs: number, now: number): void {
		this._averageMs += averageWeight * (tookMs - this._averageMs);
		// The base drifts upwards, so that a store that became slower for good is accepted in time.
		this._baseMs = Math.min(
			tookMs,
			(this._baseMs ?? tookMs) * baseGrowthPerLoad,
		);
		const targetMs = congestedFactor * this._baseMs;
		if (tookMs > targetMs) {
			const excess = (tookMs - targetMs) / tookMs;
			this._slowDown(decreaseGain * excess, now - tookMs, now);
			return;
		}

		this._loadsPerSecond = Math.min(
			largestLoadsPerSecond,
			this._loadsPerSecond + growthPerSecond / this._loadsPerSecond,
		);
	}

	onFailed(now: number): void {
		this._slowDown(failureDecrease, now, now);
	}

	expectedLoadMs(loadsBefore: number, now: number): number {
		const burstMs = (burstLoads - 1) * this._gapMs();
		const startMs = Math.max(0, this._nextAt - burstMs - now);
		return startMs + loadsBefore * this._gapMs() + this._averageMs;
	}

	/** Loads that started before the last decrease say nothing about the rate since. */
	private _slowDown(decrease: number, startedAt: number, now: number): void {
		if (startedAt < this._slowedDownAt) {
			return;
		}

		// Loads go one after the other: a higher rate than that of the last one was never reached.
		const reachedPerSecond = secondMs / Math.max(1, now - startedAt);
		this._slowedDownAt = now;
		this._loadsPerSecond = Math.max(
			smallestLoadsPerSecond,
			Math.min(this._loadsPerSecond, reachedPerSecond) *
				(1 - Math.min(mostDecrease, decrease)),
		);
	}

	private _gapMs(): number {
		return secondMs / this._loadsPerSecond;
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
