import type {RouteKind} from '../authority/types.js';
import {
	shutdownCallMs,
	shutdownLeaveMs,
	shutdownStreamWindowMs,
} from './constants.js';

/** Progress of a shutdown. */
export type ShutdownProgress = {
	/** Time since the stop signal, in milliseconds. */
	readonly sinceMs: number;
	/** Time until the process ends, in milliseconds. */
	readonly leftMs: number;
	/** Whether another entry accepts requests. */
	readonly hasOthers: boolean;
};

/**
 * Returns whether a stopping entry still accepts a request. Balancers keep sending requests for a while, and
 * until the process ends if a whole zone restarts. A request that can't finish in time is refused and can run elsewhere. Once callers have had time
 * to switch to another entry, all requests are refused, so the process ends and restarts sooner.
 */
export function canAcceptWhileStopping(
	kind: RouteKind,
	{sinceMs, leftMs, hasOthers}: ShutdownProgress,
): boolean {
	if (hasOthers && sinceMs >= shutdownLeaveMs) {
		return false;
	}

	return kind === 'stream'
		? sinceMs < shutdownStreamWindowMs
		: leftMs >= shutdownCallMs;
}
