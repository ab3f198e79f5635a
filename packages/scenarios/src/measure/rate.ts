import {
	RateRun,
	type RateExperiment,
	type RateFigures,
	type RatePolicyName,
} from './rate-fleet/rate-run.js';

export * from './rate-fleet/rate-cost.js';
export type {
	RateExperiment,
	RateFigures,
	RatePolicyName,
} from './rate-fleet/rate-run.js';

/** Selection of the runs. */
export type RateMeasureOptions = {
	readonly seeds: readonly number[];
	readonly experiments: readonly RateExperiment[];
	readonly policies: readonly RatePolicyName[];
};

/** Figures of one experiment with one policy over all seeds. */
export type RateMeasurement = {
	readonly experiment: RateExperiment;
	readonly policy: RatePolicyName;
	readonly seeds: number;
	readonly requests: number;
	readonly refused: number;
	/** Refusals of requests that one global token bucket would have admitted, per 10,000 requests. */
	readonly medianInsidePer10000: number;
	readonly worstInsidePer10000: number;
	/** The same over the requests of all seeds together. */
	readonly meanInsidePer10000: number;
	/** Maximum number of tokens spent beyond rate and burst in any window of any seed. Must be 0. */
	readonly tokensOver: number;
	readonly messagesPerSecondAndEntry: number;
	readonly storeReadsPerSecond: number;
	readonly storeWritesPerSecond: number;
};

const defaults: RateMeasureOptions = {
	seeds: [1, 2, 3, 4, 5, 6, 7, 8, 9, 10],
	experiments: [
		'steady',
		'movingPopularity',
		'entryKilled',
		'rollingRestart',
		'storeDown',
	],
	policies: ['ours', 'evenShares', 'oneOwner'],
};

/**
 * Counts refusals inside the customers' rates, for the sharded rate limiter and for simpler ones.
 * Runs each experiment with each policy and seed in virtual time. The same seeds give the same figures.
 */
export function measureRate(
	options: Partial<RateMeasureOptions> = {},
): readonly RateMeasurement[] {
	const {seeds, experiments, policies} = {...defaults, ...options};
	return experiments.flatMap(experiment =>
		policies.map(policy => {
			const runs = seeds.map(seed =>
				RateRun.create(experiment, policy, seed).run(),
			);
			return summarize(experiment, policy, runs);
		}),
	);
}

function summarize(
	experiment: RateExperiment,
	policy: RatePolicyName,
	runs: readonly RateFigures[],
): RateMeasurement {
	const inside = runs.map(run => run.refusedInsidePer10000);
	const requests = sumOf(runs.map(run => run.requests));
	const insideCount = sumOf(runs.map(run => run.refusedInsideRate));
	return {
		experiment,
		policy,
		seeds: runs.length,
		requests,
		refused: sumOf(runs.map(run => run.refused)),
		medianInsidePer10000: medianOf(inside),
		worstInsidePer10000: Math.max(...inside),
		meanInsidePer10000: (10_000 * insideCount) / Math.max(1, requests),
		tokensOver: Math.max(...runs.map(run => run.tokensOver)),
		messagesPerSecondAndEntry: medianOf(
			runs.map(run => run.messagesPerSecondAndEntry),
		),
		storeReadsPerSecond: medianOf(runs.map(run => run.storeReadsPerSecond)),
		storeWritesPerSecond: medianOf(runs.map(run => run.storeWritesPerSecond)),
	};
}

function sumOf(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}

function medianOf(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	const middle = Math.floor(sorted.length / 2);
	const upper = sorted[middle] ?? 0;
	const lower = sorted[middle - 1] ?? upper;
	return sorted.length % 2 === 0 ? (lower + upper) / 2 : upper;
}
