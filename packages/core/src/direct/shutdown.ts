import type {RouteKind} from '../authority/types.js';
import {shutdownCallMs, shutdownStreamWindowMs} from './constants.js';

/** How far a shutdown is. */
export type ShutdownProgress = {
	/** Time since the signal, in milliseconds. */
	readonly sinceMs: number;
	/** Time until the process ends, in milliseconds. */
	readonly leftMs: number;
};

/**
 * Whether an entry that is stopping still takes a request. Balancers go on sending for a while, and where a whole
 * zone restarts they send to the end; what can't be finished is refused, so that it runs elsewhere.
 */
export function mayTakeWhileStopping(
	kind: RouteKind,
	{sinceMs, leftMs}: ShutdownProgress,
): boolean {
	return kind === 'stream'
		? sinceMs < shutdownStreamWindowMs
		: leftMs >= shutdownCallMs;
}
