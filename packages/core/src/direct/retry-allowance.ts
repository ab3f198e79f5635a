import {
	minBudgetEntries,
	retryBudgetShare,
	retryWindowBuckets,
} from './constants.js';

/** The platform's limit on retries of requests to a service. */
export type RetryLimit = {
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
	/** Number of retries allowed per request in the window. */
	readonly ratio: number;
	/** Fixed number of further retries in the window, over all entries. */
	readonly extra: number;
};

/** What an entry has sent to a service in the window. */
export type RetryCounts = {
	readonly requests: number;
	readonly retries: number;
};

type Bucket = {
	readonly startedAt: number;
	requests: number;
	retries: number;
};

/** Limits this entry's retries of requests to one service, over a sliding window. */
export class RetryAllowance {
	/** @param limit returns the current limit */
	static create(limit: () => RetryLimit): RetryAllowance {
		return new RetryAllowance(limit);
	}

	private _buckets: Bucket[] = [];

	private constructor(private readonly _limit: () => RetryLimit) {}

	noteRequest(now: number): void {
		this._bucketAt(now).requests++;
	}

	/** Takes one retry. Returns whether the budget allowed it. */
	tryTake(entryCount: number, now: number): boolean {
		const bucket = this._bucketAt(now);
		const {requests, retries} = this.counts(now);
		const {ratio, extra} = this._limit();
		const fixed = extra / Math.max(entryCount, minBudgetEntries);
		if (retries + 1 > retryBudgetShare * (ratio * requests + fixed)) {
			return false;
		}

		bucket.retries++;
		return true;
	}

	/** Requests and retries of the window that ends now. */
	counts(now: number): RetryCounts {
		this._bucketAt(now);
		let requests = 0;
		let retries = 0;
		for (const past of this._buckets) {
			requests += past.requests;
			retries += past.retries;
		}

		return {requests, retries};
	}

	private _bucketAt(now: number): Bucket {
		const {windowMs} = this._limit();
		const bucketMs = windowMs / retryWindowBuckets;
		const last = this._buckets.at(-1);
		if (last !== undefined && now - last.startedAt < bucketMs) {
			return last;
		}

		// Keep one bucket more than the window has, as the oldest overlaps the window only in part.
		this._buckets = this._buckets.filter(
			past => now - past.startedAt < windowMs + bucketMs,
		);
		const bucket = {startedAt: now, requests: 0, retries: 0};
		this._buckets.push(bucket);
		return bucket;
	}
}
