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
	createUnlimitedLoads,
} from './load-limiter.js';
import type {RequestQueue} from './request-queue.js';
import type {AgentLimits} from './types.js';

/** What may vary in an agent's decisions. None of it can break a guarantee. */
export type AgentPolicy = {
	readonly name: string;
	createQueue(): RequestQueue;
	createWindow(limits: AgentLimits): ConcurrencyWindow;
	createLoadLimiter(): LoadLimiter;
	/** Orders the absent adapter versions by which is loaded first. They come in the order of the queue. */
	orderLoads(
		wanted: readonly WantedAdapter[],
		recentLoads: (customer: string) => number,
	): readonly WantedAdapter[];
	/** Chooses which of the idle adapter versions gives up its slot. The list is never empty. */
	pickVictim(
		idle: readonly Slot[],
		recentUses: (servedName: string) => number,
	): Slot;
};

/** The policy that agents run with. */
export const defaultAgentPolicy: AgentPolicy = {
	name: 'default',
	createQueue: () => FairQueue.create(),
	createWindow: limits => ColdStartWindow.create(limits),
	createLoadLimiter: () => AdaptiveLoadLimiter.create(),
	orderLoads: leastServedCustomerFirst,
	pickVictim: leastUsed,
};

/** First come first served, least recently used, fixed window and unlimited loads, for comparison. */
export const naiveAgentPolicy: AgentPolicy = {
	name: 'naive',
	createQueue: () => ArrivalQueue.create(),
	createWindow: limits => createFixedWindow(limits),
	createLoadLimiter: () => createUnlimitedLoads(),
	orderLoads: wanted => wanted,
	pickVictim: leastRecentlyUsed,
};

/** The idle adapter version whose last use is longest ago. */
export function leastRecentlyUsed(idle: readonly Slot[]): Slot {
	return smallestBy(idle, slot => slot.lastUsedAt);
}

/** The idle adapter version with the fewest recent uses, counted over all its times in a slot. */
export function leastUsed(
	idle: readonly Slot[],
	recentUses: (servedName: string) => number,
): Slot {
	return smallestBy(idle, ({servedName}) => recentUses(servedName));
}

/**
 * The customer with the fewest loads for its share of late comes first, so that one customer's
 * many adapters do not hold up the loads of the others; within a customer, the most waiters first.
 */
export function leastServedCustomerFirst(
	wanted: readonly WantedAdapter[],
	recentLoads: (customer: string) => number,
): readonly WantedAdapter[] {
	const loads = new Map<string, number>();
	const places = mostWaitersFirst(wanted).map(adapter => {
		const {customer, share} = adapter;
		const before = loads.get(customer) ?? recentLoads(customer) / share;
		loads.set(customer, before + 1 / share);
		return {adapter, before};
	});
	return places
		.toSorted((a, b) => a.before - b.before)
		.map(({adapter}) => adapter);
}

/** The more requests a load lets run, the sooner; otherwise in the order of the queue. */
export function mostWaitersFirst(
	wanted: readonly WantedAdapter[],
): readonly WantedAdapter[] {
	return wanted.toSorted((a, b) => b.waiters - a.waiters);
}

function smallestBy(
	slots: readonly Slot[],
	scoreOf: (slot: Slot) => number,
): Slot {
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
