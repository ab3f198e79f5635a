import {replicaDelayMs} from '../placement/constants.js';
import {maxHolderPrefillShare} from './constants.js';

/** Load of the engines that hold an adapter. */
export type HolderLoad = {
	/** Least prompt delay among the holders, in milliseconds. */
	readonly delayMs: number;
	/** Prefill rate of all holders together, in tokens per millisecond. */
	readonly holderTokensPerMs: number;
	/** Estimated prompt tokens per millisecond of all entries for the adapter; 0 if too few requests tell. */
	readonly demand: number;
};

/** What the weight store can do, as learned from the loads of all engines. */
export type LoadFigures = {
	/** Time of a load at its full speed, in milliseconds. */
	readonly loadMs: number;
	/** Concurrent loads for each usable server, over all engines, that it serves at full speed. */
	readonly loadsPerServer: number;
};

/**
 * Returns whether an adapter should get another replica: its prompts take too much of its holders' time, or wait there.
 * A rare adapter gets one only if the wait is longer than a load, as other adapters need the load and the place. While
 * the weight store has more loads than it serves at full speed, a load takes longer in proportion, and so must the wait.
 *
 * @param pendingPerServer pending loads over all servers, divided by the number of usable servers
 */
export function needsPacedReplica(
	{delayMs, holderTokensPerMs, demand}: HolderLoad,
	pendingPerServer: number,
	{loadMs, loadsPerServer}: LoadFigures,
): boolean {
	const slowing = Math.max(1, pendingPerServer / loadsPerServer);
	return (
		delayMs >= slowing * (demand > 0 ? replicaDelayMs : loadMs) ||
		(pendingPerServer <= loadsPerServer &&
			demand > maxHolderPrefillShare * holderTokensPerMs)
	);
}
