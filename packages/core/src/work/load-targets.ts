import {adapterKey} from '../authority/authority-view.js';
import {hashString, rendezvousScore} from '../common/rendezvous.js';
import {
	maxLoadTargetDelayMs,
	maxPendingAdapters,
	maxSlotUtilization,
} from '../placement/constants.js';
import type {ServerState} from '../placement/server-state.js';
import type {AdapterWant} from '../placement/types.js';

/**
 * Returns the engine to ask for an adapter: the one that this entry has asked already, one that held the adapter recently,
 * or else the first in the adapter's rendezvous order, on which entries agree. Engines that have work or loads to do
 * come after those that do not.
 *
 * @param maxAskMs time for which an engine is asked that loads nothing, in milliseconds
 */
export function pickPacedLoadTarget(
	candidates: readonly ServerState[],
	want: AdapterWant,
	maxAskMs: number,
	now: number,
): ServerState | undefined {
	const asked = candidates.find(
		server =>
			server.askedForMs(want, now) !== undefined &&
			!isAskedInVain(server, want, maxAskMs, now),
	);
	if (asked !== undefined) {
		return asked;
	}

	const key = adapterKey(want.model, want.adapter);
	const keyHash = hashString(key);
	const ranked = candidates
		.map(server => ({
			server,
			penalty: penaltyOf(server, want, maxAskMs, now),
			score: rendezvousScore(keyHash, hashString(server.record.id)),
		}))
		.toSorted((a, b) => a.penalty - b.penalty || b.score - a.score);
	return ranked[0]?.server;
}

/** Whether the engine can take on an adapter: it has free slots, a short prompt delay and no queue of loads. */
export function hasRoomForAdapter(server: ServerState, now: number): boolean {
	return (
		server.requestCount(now) < server.record.slots * maxSlotUtilization &&
		server.promptDelayMs(now) < maxLoadTargetDelayMs &&
		server.loadQueueLength(now) < maxPendingAdapters
	);
}

/** Whether the engine was asked for the adapter for long and has loaded nothing meanwhile, as if an order is stuck. */
function isAskedInVain(
	server: ServerState,
	want: AdapterWant,
	maxAskMs: number,
	now: number,
): boolean {
	return (
		(server.askedForMs(want, now) ?? 0) >= maxAskMs &&
		server.loadedNothingForMs(now) >= maxAskMs
	);
}

/**
 * 0 is the best. An engine that was asked in vain comes last. Room counts more than the cache: a cached adapter loads
 * fast, but its requests run where it is.
 */
function penaltyOf(
	server: ServerState,
	want: AdapterWant,
	maxAskMs: number,
	now: number,
): number {
	const key = adapterKey(want.model, want.adapter);
	return (
		(isAskedInVain(server, want, maxAskMs, now) ? 4 : 0) +
		(hasRoomForAdapter(server, now) ? 0 : 2) +
		(server.heldRecently(key) ? 0 : 1)
	);
}
