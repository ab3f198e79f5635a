import {spreadRetryAfterMs, type LateTurnDecision} from './early-refusal.js';

/** A request whose adapter no engine holds. Times are in milliseconds. */
export type AwaitedLoad = {
	/** Time that a load takes at present. */
	readonly loadMs: number;
	/** Time until this load would be complete if it was the next one. */
	readonly remainingMs: number;
	/** Other adapters that no engine holds and that wait for a load, over all engines. */
	readonly loadsAhead: number;
	/** Loads that are in progress over all engines, or that the weight store carries at full speed, if these are more. */
	readonly concurrentLoads: number;
	/** Time for which the request may still wait. */
	readonly allowedMs: number;
	/** Time since its caller was first refused, as it comes before those that came later; 0 if it was not. */
	readonly waitedMs: number;
};

/**
 * Decides on a request that is about to wait for its adapter. It is refused at once if the loads ahead of it leave no time
 * for its own. Without loads ahead it waits, as the store begins its load at once.
 *
 * @param random in [0, 1)
 */
export function decideLateLoad(
	load: AwaitedLoad,
	random: number,
): LateTurnDecision {
	const {loadMs, remainingMs, loadsAhead, concurrentLoads, allowedMs} = load;
	// Its own load begins once all those ahead have begun, and one more has ended.
	const aheadMs = ((loadsAhead + 1) * loadMs) / Math.max(1, concurrentLoads);
	const estimateMs = Math.max(0, aheadMs - load.waitedMs) + remainingMs;
	return loadsAhead === 0 || estimateMs <= allowedMs
		? {kind: 'wait'}
		: {
				kind: 'refuse',
				retryAfterMs: spreadRetryAfterMs({estimateMs, allowedMs}, random),
			};
}
