import {decideLateLoad, decideLateTurn} from '@balsamtray/core';
import type {CallContext} from './call-context.js';
import {unavailable, type CallRefusal} from './call-refusal.js';
import {maxPrefillWaitShare} from './constants.js';
import type {CallMetadata} from './types.js';

/**
 * Returns the refusal of a request whose turn comes too late at each engine that holds its adapter; undefined if it may
 * wait, as a further engine is to load the adapter.
 *
 * @param estimateMs least expected time until its turn, in milliseconds
 * @param limitMs time limit of the request, in milliseconds
 */
export function refuseLateTurn(
	{fleet, clock, random}: Pick<CallContext, 'fleet' | 'clock' | 'random'>,
	{model, adapter}: Pick<CallMetadata, 'model' | 'adapter'>,
	estimateMs: number,
	limitMs: number,
): CallRefusal | undefined {
	const now = clock();
	const isLoadExpected =
		model !== undefined &&
		adapter !== undefined &&
		[...fleet.servers()].some(
			server =>
				server.adapterVersion(model, adapter, now) === undefined &&
				server
					.wants(now)
					.some(want => want.model === model && want.adapter === adapter),
		);
	const allowedMs = limitMs * maxPrefillWaitShare;
	const decision = decideLateTurn(
		{estimateMs, allowedMs, isLoadExpected},
		random(),
	);
	return decision.kind === 'refuse'
		? {...unavailable('promptQueue'), retryAfterMs: decision.retryAfterMs}
		: undefined;
}

/**
 * Returns the refusal of a request whose adapter can't be loaded in time, as other loads are ahead of it; undefined if it
 * may wait. Before a load was seen, nothing is refused.
 *
 * @param since time at which its caller was first refused; the present time if it was not
 * @param allowedMs time for which the request may still wait, in milliseconds
 */
export function refuseLateLoad(
	{
		fleet,
		loadTimes,
		clock,
		random,
	}: Pick<CallContext, 'fleet' | 'loadTimes' | 'clock' | 'random'>,
	{model = '', adapter = ''}: Pick<CallMetadata, 'model' | 'adapter'>,
	since: number,
	allowedMs: number,
): CallRefusal | undefined {
	const now = clock();
	const loadMs = loadTimes.recentMs;
	const engines = [...fleet.servers()].filter(server =>
		server.hasFreshReport(now),
	);
	if (
		loadMs === undefined ||
		engines.some(server => server.isPending(model, adapter, now))
	) {
		return undefined;
	}

	const decision = decideLateLoad(
		{
			loadMs,
			remainingMs: loadTimes.remainingMs(model, adapter, now) ?? loadMs,
			loadsAhead: fleet.waitingFirstLoads(now),
			// Loads that are about to begin are not reported yet, so those that the store carries count at least.
			concurrentLoads: Math.max(
				fleet.pendingLoads(now),
				loadTimes.loadLimit(engines.length) ?? 0,
			),
			allowedMs,
			waitedMs: now - since,
		},
		random(),
	);
	return decision.kind === 'refuse'
		? {...unavailable('awaitAdapter'), retryAfterMs: decision.retryAfterMs}
		: undefined;
}

/** Refusal of a request that waited in vain. Without its adapter, the caller is to come back once that is loaded. */
export function refuseWait(
	{loadTimes, clock}: Pick<CallContext, 'loadTimes' | 'clock'>,
	{model, adapter}: Pick<CallMetadata, 'model' | 'adapter'>,
	cause: string,
): CallRefusal {
	const refusal = unavailable(cause);
	if (cause !== 'awaitAdapter' || !model || !adapter) {
		return refusal;
	}

	const remainingMs = loadTimes.remainingMs(model, adapter, clock()) ?? 0;
	return remainingMs > 0 ? {...refusal, retryAfterMs: remainingMs} : refusal;
}
