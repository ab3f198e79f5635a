import {minTurnRetryAfterMs} from './constants.js';

/** A request whose prompt can't begin within its time limit at any engine that holds its adapter. */
export type LateTurn = {
	/** Least expected time until its turn, in milliseconds. */
	readonly estimateMs: number;
	/** Time for which a new request of the same limit may wait, in milliseconds. */
	readonly allowedMs: number;
	/** Whether a further engine is to load the adapter. */
	readonly isLoadExpected: boolean;
};

export type LateTurnDecision =
	| {readonly kind: 'wait'}
	| {readonly kind: 'refuse'; readonly retryAfterMs: number};

/**
 * Decides on a request whose turn comes too late everywhere. It is refused at once, unless an engine that is about to load
 * its adapter may still serve it.
 *
 * @param random in [0, 1)
 */
export function decideLateTurn(
	{estimateMs, allowedMs, isLoadExpected}: LateTurn,
	random: number,
): LateTurnDecision {
	return isLoadExpected
		? {kind: 'wait'}
		: {
				kind: 'refuse',
				retryAfterMs: spreadRetryAfterMs({estimateMs, allowedMs}, random),
			};
}

/**
 * Returns when a refused caller is to come back, in milliseconds. The earliest time is the one from which its prompt would
 * begin within its limit. Callers are spread over the time that a prompt may wait, which is what the engine then still has
 * to prefill, so that they do not return together.
 */
export function spreadRetryAfterMs(
	{estimateMs, allowedMs}: Pick<LateTurn, 'estimateMs' | 'allowedMs'>,
	random: number,
): number {
	const earliestMs = Math.max(minTurnRetryAfterMs, estimateMs - allowedMs);
	return earliestMs + random * Math.max(minTurnRetryAfterMs, allowedMs);
}
