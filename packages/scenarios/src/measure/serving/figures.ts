import {measuredMs} from './constants.js';
import type {FleetCounts, RequestRecord} from './types.js';
import {workloadCustomers} from './workload.js';

/** Figures of one run of an experiment. */
export type ServingFigures = {
	readonly requests: number;
	readonly answeredShare: number;
	/** Share of answered requests that waited for an adapter load, and quantiles of their waits. */
	readonly loadWaitShare: number;
	readonly loadWaitP50Ms: number;
	readonly loadWaitP99Ms: number;
	readonly loadsPerMinute: number;
	readonly requestsPerBatch: number;
	readonly tokensPerSecond: number;
	readonly firstTokenP50Ms: number;
	readonly firstTokenP99Ms: number;
	/** Worst value over the customers, without the one that overloads the fleet. */
	readonly worstServedShare: number;
	readonly worstFirstTokenP99Ms: number;
	/** Jain's fairness index over the served shares of the same customers. */
	readonly jainIndex: number;
	/** Refusals for reasons other than the rate, per 10,000 requests. */
	readonly otherRefusedPer10000: number;
	/** Requests that one global token bucket admits in addition to those that the fleet admitted, per 10,000. */
	readonly rateRefusedInsidePer10000: number;
	/** Share of refusals that say when to retry. */
	readonly retryTimeShare: number;
	readonly lostOrCut: number;
	readonly engineCrashes: number;
	/** Requests that were quarantined because of a crash that they didn't cause. */
	readonly innocentQuarantined: number;
	readonly overruns: number;
	readonly refusals: Readonly<Record<string, number>>;
};

/** Returns the value below which the given share of the values lies, or 0 without values. */
export function quantile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
	return sorted[index] ?? 0;
}

function firstTokenTimes(records: readonly RequestRecord[]): readonly number[] {
	return records.flatMap(({end}) =>
		end.kind === 'answered' ? [end.firstTokenMs] : [],
	);
}

/** Returns the number of answered requests relative to those inside the customer's rate, at most 1. */
function servedShare(records: readonly RequestRecord[]): number {
	const inside = records.filter(({isInsideRate}) => isInsideRate).length;
	const answered = records.filter(({end}) => end.kind === 'answered').length;
	return inside === 0 ? 1 : Math.min(1, answered / inside);
}

function isRefusedByRate({end}: RequestRecord): boolean {
	return end.kind === 'refused' && end.code === 'rate_exceeded';
}

/** Returns how many more requests one global token bucket admits than the fleet did, summed over customers. */
function refusedInsideRate(records: readonly RequestRecord[]): number {
	let sum = 0;
	for (const {name} of workloadCustomers) {
		const own = records.filter(({request}) => request.customer === name);
		const byGlobalBucket = own.filter(({isInsideRate}) => isInsideRate).length;
		const byFleet = own.filter(record => !isRefusedByRate(record)).length;
		sum += Math.max(0, byGlobalBucket - byFleet);
	}

	return sum;
}

function jainIndex(shares: readonly number[]): number {
	const sum = shares.reduce((total, share) => total + share, 0);
	const squares = shares.reduce((total, share) => total + share * share, 0);
	return squares === 0 ? 0 : sum ** 2 / (shares.length * squares);
}

function countBy(codes: readonly string[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const code of codes.toSorted()) {
		counts[code] = (counts[code] ?? 0) + 1;
	}

	return counts;
}

/** Computes the figures of a run. */
export function figuresOf(
	records: readonly RequestRecord[],
	counts: FleetCounts,
	totalMs: number,
	overloadingCustomer?: string,
): ServingFigures {
	const sent = records.filter(
		({request, end}) => !request.isPoison && end.kind !== 'unreached',
	);
	const refused = sent.flatMap(({end}) =>
		end.kind === 'refused' ? [end] : [],
	);
	const answered = sent.filter(({end}) => end.kind === 'answered');
	const waits = answered
		.map(({loadWaitMs}) => loadWaitMs)
		.filter(waitMs => waitMs > 0);
	const others = workloadCustomers
		.filter(({name}) => name !== overloadingCustomer)
		.map(({name}) => sent.filter(({request}) => request.customer === name));
	const refusedOtherwise = refused.filter(({code}) => code !== 'rate_exceeded');
	const tokens = answered.reduce(
		(sum, {end}) => sum + (end.kind === 'answered' ? end.tokens : 0),
		0,
	);
	const times = firstTokenTimes(sent);
	return {
		requests: sent.length,
		answeredShare: answered.length / sent.length,
		loadWaitShare: waits.length / answered.length,
		loadWaitP50Ms: quantile(waits, 0.5),
		loadWaitP99Ms: quantile(waits, 0.99),
		loadsPerMinute: counts.loads / (totalMs / 60_000),
		requestsPerBatch: counts.requestsPerBatch,
		tokensPerSecond: tokens / (measuredMs / 1000),
		firstTokenP50Ms: quantile(times, 0.5),
		firstTokenP99Ms: quantile(times, 0.99),
		worstServedShare: Math.min(...others.map(group => servedShare(group))),
		worstFirstTokenP99Ms: Math.max(
			...others.map(group => quantile(firstTokenTimes(group), 0.99)),
		),
		jainIndex: jainIndex(others.map(group => servedShare(group))),
		otherRefusedPer10000: (refusedOtherwise.length / sent.length) * 10_000,
		rateRefusedInsidePer10000: (refusedInsideRate(sent) / sent.length) * 10_000,
		retryTimeShare:
			refused.length === 0
				? 1
				: refused.filter(({hasRetryTime}) => hasRetryTime).length /
					refused.length,
		lostOrCut: sent.filter(({end}) => end.kind === 'lost' || end.kind === 'cut')
			.length,
		engineCrashes: counts.engineCrashes,
		innocentQuarantined: refused.filter(({code}) => code === 'quarantined')
			.length,
		overruns: counts.overruns,
		refusals: countBy(refused.map(({code}) => code)),
	};
}
