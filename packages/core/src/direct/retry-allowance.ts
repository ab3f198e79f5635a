import {
	minBudgetEntries,
	retryBudgetShare,
	retryWindowBuckets,
} from './constants.js';

/** The platform's bound on arrivals beyond the first of each request. */
export type RetryBound = {
	readonly windowMs: number;
	/** Retries that each request allows. */
	readonly ratio: number;
	/** Retries in a window beyond that, over all entries. */
	readonly extra: number;
};

type Bucket = {
	readonly startedAt: number;
	requests: number;
	retries: number;
};

/** Bounds what this entry sends to one service beyond the first dispatch of each request. */
export class RetryAllowance {
	/** @param bound the bound in force */
	static create(bound: () => RetryBound): RetryAllowance {
		return new RetryAllowance(bound);
	}

	private _buckets: Bucket[] = [];

	private constructor(private readonly _bound: () => RetryBound) {}

	noteRequest(now: number): void {
		this._bucketAt(now).requests++;
	}

	/** Takes one retry if there is one. */
	tryTake(entryCount: number, now: number): boolean {
		const bucket = this._bucketAt(now);
		let requests = 0;
		let retries = 0;
		for (const past of this._buckets) {
			requests += past.requests;
			retries += past.retries;
		}

		const {ratio, extra} = this._bound();
		const fixed = extra / Math.max(entryCount, minBudgetEntries);
		if (retries + 1 > retryBudgetShare * (ratio * requests + fixed)) {
			return false;
		}

		bucket.retries++;
		return true;
	}

	private _bucketAt(now: number): Bucket {
		const {windowMs} = this._bound();
		const bucketMs = windowMs / retryWindowBuckets;
		const last = this._buckets.at(-1);
		if (last !== undefined && now - last.startedAt < bucketMs) {
			return last;
		}

		// One bucket more than the window has, as the oldest lies in it only in part.
		this._buckets = this._buckets.filter(
			past => now - past.startedAt < windowMs + bucketMs,
		);
		const bucket = {startedAt: now, requests: 0, retries: 0};
		this._buckets.push(bucket);
		return bucket;
	}
}
