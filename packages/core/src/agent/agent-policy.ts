import type {WantedAdapter} from './adapter-loader.js';
import type {Slot} from './adapter-slots.js';
import {ArrivalQueue} from './arrival-queue.js';
import {
	ColdStartWindow,
	type ConcurrencyWindow,
	createFixedWindow,
} from './concurrency-window.js';
import {FairQueue} from './fair-queue.js';
import {
	AdaptiveLoadLimiter,
	type LoadLimiter,
	createUnlimitedLoadLimiter,
} from './load-limiter.js';
import type {RequestQueue} from './request-queue.js';
import type {AgentLimits} from './types.js';

/** Replaceable parts of an agent's decisions. No policy can break a guarantee of the agent. */
export type AgentPolicy = {
	readonly name: string;
	createQueue(): RequestQueue;
	createWindow(limits: AgentLimits): ConcurrencyWindow;
	createLoadLimiter(): LoadLimiter;
	/** Sorts the absent adapter versions, given in queue order, into load order. */
	orderLoads(
		wanted: readonly WantedAdapter[],
		recentLoads: (customer: string) => number,
	): readonly WantedAdapter[];
	/** Chooses the idle adapter version to evict. The list is never empty. */
	pickVictim(
		idle: readonly Slot[],
		recentUses: (servedName: string) => number,
	): Slot;
};

/** Policy that agents use in production. */
export const defaultAgentPolicy: AgentPolicy = {
	name: 'default',
	createQueue: () => FairQueue.create(),
	createWindow: limits => ColdStartWindow.create(limits),
	createLoadLimiter: () => AdaptiveLoadLimiter.create(),
	orderLoads: leastServedCustomerFirst,
	pickVictim: leastUsed,
};

/** Baseline for comparison: FIFO queue, fixed concurrency window, unlimited loads and LRU eviction. */
export const naiveAgentPolicy: AgentPolicy = {
	name: 'naive',
	createQueue: () => ArrivalQueue.create(),
	createWindow: limits => createFixedWindow(limits),
	createLoadLimiter: () => createUnlimitedLoadLimiter(),
	orderLoads: wanted => wanted,
	pickVictim: leastRecentlyUsed,
};

/** Returns the least recently used idle adapter version. */
export function leastRecentlyUsed(idle: readonly Slot[]): Slot {
	return minBy(idle, slot => slot.lastUsedAt);
}

/** Returns the idle adapter version with the fewest recent uses, including uses before its last eviction. */
export function leastUsed(
	idle: readonly Slot[],
	recentUses: (servedName: string) => number,
): Slot {
	return minBy(idle, ({servedName}) => recentUses(servedName));
}

/**
 * Sorts by the customer's recent loads divided by its share, fewest first, so that a customer with many adapters
 * doesn't delay the loads of others. Within a customer, the adapter version with the most waiters comes first.
 */
export function leastServedCustomerFirst(
	wanted: readonly WantedAdapter[],
	recentLoads: (customer: string) => number,
): readonly WantedAdapter[] {
	const loads = new Map<string, number>();
	const rankedAdapters = mostWaitersFirst(wanted).map(adapter => {
		const {customer, share} = adapter;
		const loadsBefore = loads.get(customer) ?? recentLoads(customer) / share;
		loads.set(customer, loadsBefore + 1 / share);
		return {adapter, loadsBefore};
	});
	return rankedAdapters
		.toSorted((a, b) => a.loadsBefore - b.loadsBefore)
		.map(({adapter}) => adapter);
}

/** Sorts by the number of waiting requests, most first, and keeps the queue order among equals. */
export function mostWaitersFirst(
	wanted: readonly WantedAdapter[],
): readonly WantedAdapter[] {
	return wanted.toSorted((a, b) => b.waiters - a.waiters);
}

function minBy(slots: readonly Slot[], scoreOf: (slot: Slot) => number): Slot {
	let best = slots[0]!;
	let bestScore = scoreOf(best);
	for (const slot of slots) {
		const score = scoreOf(slot);
		if (score < bestScore) {
			best = slot;
			bestScore = score;
		}
	}

	return best;
}
