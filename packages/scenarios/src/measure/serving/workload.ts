import {createRandom, type Random} from '@balsamtray/core';
import {
	adapterCount,
	measuredMs,
	popularityExponent,
	warmUpMs,
} from './constants.js';
import type {Experiment, WorkloadCustomer, WorkloadRequest} from './types.js';

/** Mean number of prompt and answer tokens of a request, from which the customers' rate limits are computed. */
const meanTokens = 260;

/** Ratio of a customer's rate limit to its usual traffic. */
const rateHeadroom = 1.6;

const requestsPerSecond = [16, 12, 6, 4, 2];

/** Customers of the workload: two large, the others smaller. */
export const workloadCustomers: readonly WorkloadCustomer[] =
	requestsPerSecond.map((rate, i) => ({
		name: `customer-${i + 1}`,
		requestsPerSecond: rate,
		tokensPerSecond: Math.ceil(rate * meanTokens * rateHeadroom),
	}));

/** Returns the name of a customer's adapter with the given popularity rank. */
export function adapterName(customer: string, rank: number): string {
	return `${customer}-adapter-${rank}`;
}

/** Number of adapters of each customer. */
export const adaptersPerCustomer = adapterCount / requestsPerSecond.length;

/** Returns the cumulative shares of requests over a customer's adapters, most popular first. */
function cumulativeShares(): readonly number[] {
	const weights = Array.from(
		{length: adaptersPerCustomer},
		(_, i) => (i + 1) ** -popularityExponent,
	);
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	let sum = 0;
	return weights.map(weight => {
		sum += weight;
		return sum / total;
	});
}

/** Returns the first index whose cumulative share reaches the value, by binary search. */
function findShareIndex(shares: readonly number[], value: number): number {
	let low = 0;
	let high = shares.length - 1;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (shares[middle]! < value) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

/** Returns the time until the next arrival of a Poisson process, in milliseconds. */
function nextGapMs(ratePerSecond: number, random: Random): number {
	return (-Math.log(1 - random()) / ratePerSecond) * 1000;
}

function requestsOf(
	customer: WorkloadCustomer,
	factor: number,
	experiment: Experiment,
	random: Random,
): readonly WorkloadRequest[] {
	const shares = cumulativeShares();
	const requests: WorkloadRequest[] = [];
	const end = warmUpMs + measuredMs;
	const shiftAt =
		experiment.popularityShiftAtMs === undefined
			? Infinity
			: warmUpMs + experiment.popularityShiftAtMs;
	let at = nextGapMs(customer.requestsPerSecond, random);
	while (at < end) {
		const rank = findShareIndex(shares, random());
		// After the shift, the least popular half becomes the most popular.
		const shifted =
			at < shiftAt
				? rank
				: (rank + adaptersPerCustomer / 2) % adaptersPerCustomer;
		const answerTokens = 16 + Math.floor(random() * 64);
		const id = `${customer.name}/${requests.length}`;
		requests.push({
			id,
			at,
			customer: customer.name,
			adapter: adapterName(customer.name, shifted),
			promptTokens: 64 + Math.floor(random() * 192),
			maxTokens: 96,
			answerTokens,
			fingerprint: id,
			isPoison: false,
		});
		const rate = customer.requestsPerSecond * (at < warmUpMs ? 1 : factor);
		at += nextGapMs(rate, random);
	}

	return requests;
}

/** Creates poison requests: copies of one request that crashes engines, sent by the last customer at a fixed interval. */
function poisonRequests(everyMs: number): readonly WorkloadRequest[] {
	const customer = workloadCustomers.at(-1)!;
	const count = Math.floor(measuredMs / everyMs) - 1;
	return Array.from({length: count}, (_, i) => ({
		id: `poison/${i}`,
		at: warmUpMs + (i + 1) * everyMs,
		customer: customer.name,
		adapter: adapterName(customer.name, 0),
		promptTokens: 100,
		maxTokens: 96,
		answerTokens: 60,
		fingerprint: 'poison',
		isPoison: true,
	}));
}

/** Creates all requests of an experiment in order of arrival. The same seed gives the same requests for each policy. */
export function createWorkload(
	experiment: Experiment,
	seed: number,
): readonly WorkloadRequest[] {
	const {overload, poisonEveryMs} = experiment;
	const requests = workloadCustomers.flatMap((customer, i) => {
		const factor = overload?.customer === i ? overload.factor : 1;
		const random = createRandom(seed * 1000 + i);
		return requestsOf(customer, factor, experiment, random);
	});
	const poison =
		poisonEveryMs === undefined ? [] : poisonRequests(poisonEveryMs);
	return [...requests, ...poison].toSorted(
		(a, b) => a.at - b.at || (a.id < b.id ? -1 : 1),
	);
}
