import type {HeldBucket} from './held-shards.js';

/** Sums over several buckets of one customer. */
export type BucketTotals = {
	/** Tokens in the buckets. */
	readonly level: number;
	/** Maximum number of tokens that the buckets can hold. */
	readonly burst: number;
};

export function totalsOf(buckets: readonly HeldBucket[]): BucketTotals {
	let level = 0;
	let burst = 0;
	for (const {bucket} of buckets) {
		level += bucket.level;
		burst += bucket.limit.burst;
	}

	return {level, burst};
}
