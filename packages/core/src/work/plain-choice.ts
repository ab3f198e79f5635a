import type {Random} from '../common/random.js';
import {maxPlainRequestsPerSlot} from '../placement/constants.js';
import type {ReportedLoad} from '../placement/types.js';
import {loadFigureLifetimeMs} from './constants.js';

/** What an entry knows of a server of a plain service. */
export type PlainCandidate = {
	readonly id: string;
	readonly slots: number;
	/** Requests of this entry at the server. */
	readonly outstanding: number;
	/** What the server last said of its load; undefined if it says nothing. */
	readonly load: NotedLoad | undefined;
	/** 0 in the entry's zone. */
	readonly zoneDistance: number;
	readonly sentWithinSecond: number;
};

/** Load that a server told. */
export type NotedLoad = ReportedLoad & {
	readonly at: number;
	/** Requests of the entry at the server at that time. */
	readonly outstanding: number;
};

/** Requests of other entries at a server and its slowdown, and how much the figures are worth, from 0 to 1. */
type Estimate = {
	readonly others: number;
	readonly slowdown: number;
	readonly weight: number;
};

/**
 * Chooses the server that is expected to answer first. Without a fresh figure of any server, it is the one with the fewest
 * requests of this entry.
 *
 * A figure counts for less the older it is, and is mixed with the mean of all, up to the slots. Equal servers are chosen at
 * random. So an old figure does not lead all entries to the server that looked idle.
 *
 * @param workMs usual time of the work, in milliseconds; only its ratio to the zone cost counts
 * @param zoneCostMs cost of a server in another zone, in milliseconds
 */
export function choosePlain(
	candidates: readonly PlainCandidate[],
	{
		workMs,
		zoneCostMs,
		random,
	}: {
		readonly workMs: number;
		readonly zoneCostMs: number;
		readonly random: Random;
	},
	now: number,
): PlainCandidate | undefined {
	const estimates = candidates.map(({load}) => estimate(load, now));
	const isKnown = estimates.some(({weight}) => weight > 0);
	if (!isKnown) {
		return candidates.toSorted(compareOwn)[0];
	}

	const total = estimates.reduce((sum, {weight}) => sum + weight, 0);
	const mean =
		estimates.reduce((sum, {others, weight}) => sum + others * weight, 0) /
		total;
	const ranked = candidates.map((candidate, i) => {
		const {others, slowdown, weight} = estimates[i]!;
		const {slots, outstanding, zoneDistance} = candidate;
		// A server without a figure is not taken to have a queue, or all would stay with one that is known to have one.
		const mixed = weight * others + (1 - weight) * Math.min(mean, slots);
		const pace = 1 + weight * (slowdown - 1);
		const ahead = outstanding + mixed;
		const waits = Math.max(0, ahead + 1 - slots) / slots;
		return {
			candidate,
			costMs: pace * workMs * (1 + waits) + zoneCostMs * zoneDistance,
			utilization: ahead / slots,
			lot: random(),
		};
	});
	return ranked.toSorted(
		(a, b) =>
			a.costMs - b.costMs || a.utilization - b.utilization || a.lot - b.lot,
	)[0]?.candidate;
}

/**
 * Time until the request is expected to be answered by the first server, in milliseconds, if no server can have a place
 * free. Otherwise 0, also if a server has told no load within the last second: only a figure proves that places are taken,
 * and only for as long as the requests that it counts take at the full rate.
 */
export function queuedAnswerMs(
	candidates: readonly PlainCandidate[],
	workMs: number,
	now: number,
): number {
	const expected = candidates.map(({load, slots, outstanding}) => {
		if (load === undefined || now - load.at >= loadFigureLifetimeMs) {
			return 0;
		}

		const {running, waiting, at} = load;
		const answered = ((now - at) * slots) / workMs;
		if (running + waiting - answered < slots) {
			return 0;
		}

		const sentSince = Math.max(0, outstanding - load.outstanding);
		const ahead = running + waiting + sentSince;
		return (1 + (ahead + 1 - slots) / slots) * workMs;
	});
	return expected.length === 0 ? 0 : Math.min(...expected);
}

/**
 * Maximum requests of this entry at a server. Where the last figure told of waiting requests, it is an equal share of what
 * the server answers within the limit. All entries that lost sight of a queue would fill it anew otherwise. A share is at
 * least one request, whose response brings a new figure.
 */
export function maxPlainOutstanding(
	{slots, load}: PlainCandidate,
	{
		workMs,
		limitMs,
		entryCount,
	}: {
		/** Undefined until it is known. */
		readonly workMs: number | undefined;
		readonly limitMs: number;
		readonly entryCount: number;
	},
): number {
	const most = slots * maxPlainRequestsPerSlot;
	if (load === undefined || load.waiting === 0 || workMs === undefined) {
		return most;
	}

	const share = Math.floor((slots * limitMs) / workMs / entryCount);
	return Math.min(most, Math.max(1, share));
}

function estimate(load: NotedLoad | undefined, now: number): Estimate {
	if (load === undefined) {
		return {others: 0, slowdown: 1, weight: 0};
	}

	const {running, waiting, outstanding, slowdown = 1, at} = load;
	return {
		others: Math.max(0, running + waiting - outstanding),
		slowdown,
		weight: Math.max(0, 1 - (now - at) / loadFigureLifetimeMs),
	};
}

function compareOwn(a: PlainCandidate, b: PlainCandidate): number {
	return (
		a.outstanding - b.outstanding ||
		a.zoneDistance - b.zoneDistance ||
		a.sentWithinSecond - b.sentWithinSecond
	);
}
