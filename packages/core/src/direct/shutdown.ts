import type {RouteKind} from '../authority/types.js';
import {
	shutdownCallMs,
	shutdownLeaveMs,
	shutdownStreamWindowMs,
} from './constants.js';

/** How far a shutdown is. */
export type ShutdownProgress = {
	/** Time since the signal, in milliseconds. */
	readonly sinceMs: number;
	/** Time until the process ends, in milliseconds. */
	readonly leftMs: number;
	/** Whether another entry serves, so that callers can go there. */
	readonly hasOthers: boolean;
};

/**
 * Whether an entry that is stopping still takes a request. Balancers go on sending for a while, and where a whole
 * zone restarts they send to the end; what can't be finished is refused, so that it runs elsewhere. Once callers had
 * time to go to an entry that serves, nothing more is taken, so that the process ends early and comes back early.
 */
export function mayTakeWhileStopping(
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
