import type {HeldBucket} from './held-shards.js';

/** Tokens in some buckets of one customer, and the most that they can hold. */
export type Fill = {
	readonly level: number;
	readonly burst: number;
};

/** Adds the buckets up. */
export function fillOf(buckets: readonly HeldBucket[]): Fill {
	let level = 0;
	let burst = 0;
	for (const {bucket} of buckets) {
		level += bucket.level;
		burst += bucket.limit.burst;
	}

	return {level, burst};
}
