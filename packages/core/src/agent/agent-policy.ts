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
	/** Chooses which of the idle adapter versions gives up its slot. The list is never empty. */
	pickVictim(idle: readonly Slot[], now: number): Slot;
};

/** Half-life with which the uses of an adapter version lose weight in the choice of a victim. */
const useHalfLifeMs = 60_000;

/** The policy that agents run with. */
export const defaultAgentPolicy: AgentPolicy = {
	name: 'default',
	createQueue: () => FairQueue.create(),
	createWindow: limits => ColdStartWindow.create(limits),
	createLoadLimiter: () => AdaptiveLoadLimiter.create(),
	pickVictim: leastUseful,
};

/** First come first served, least recently used, fixed window and unlimited loads, for comparison. */
export const naiveAgentPolicy: AgentPolicy = {
	name: 'naive',
	createQueue: () => ArrivalQueue.create(),
	createWindow: limits => createFixedWindow(limits),
	createLoadLimiter: () => createUnlimitedLoads(),
	pickVictim: leastRecentlyUsed,
};

/** The idle adapter version whose last use is longest ago. */
export function leastRecentlyUsed(idle: readonly Slot[]): Slot {
	return smallestBy(idle, slot => slot.lastUsedAt);
}

/** The idle adapter version with the fewest uses, those long ago counting less. */
export function leastUseful(idle: readonly Slot[], now: number): Slot {
	return smallestBy(
		idle,
		slot => slot.uses * 0.5 ** ((now - slot.lastUsedAt) / useHalfLifeMs),
	);
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
