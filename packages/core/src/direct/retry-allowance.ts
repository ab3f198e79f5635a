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

export type RetryAllowanceOptions = {
	/** Returns the current limit. */
	readonly limit: () => RetryLimit;
	/** Start of the process, in milliseconds on its monotonic clock. */
	readonly startedAt: number;
	/** Whether the whole fleet starts for the first time, so that no earlier process of this entry has sent retries. */
	readonly isFirstStart: boolean;
};

type Bucket = {
	readonly startedAt: number;
	requests: number;
	retries: number;
};

/**
 * Limits this entry's retries of requests to one service, over a sliding window. Each entry may send a share of its own
 * requests once more, and has a part of the fixed retries. An earlier process of this entry may have used that part in the
 * window, so a new process has it only after one window.
 */
export class RetryAllowance {
	static create(options: RetryAllowanceOptions): RetryAllowance {
		return new RetryAllowance(options);
	}

	private _buckets: Bucket[] = [];
	/** Retries that were taken and not sent yet. */
	private _held = 0;

	private constructor(private readonly _options: RetryAllowanceOptions) {}

	noteRequest(now: number): void {
		this._bucketAt(now).requests++;
	}

	/**
	 * Takes one retry, which counts until it has been sent for one window, or is given back. Returns whether the budget allowed
	 * it.
	 *
	 * @param entryCount number of entries that may have sent retries in the window; undefined if it is not known
	 */
	tryTake(entryCount: number | undefined, now: number): boolean {
		const {requests, retries} = this.counts(now);
		const {ratio} = this._options.limit();
		const fixed = this._fixedPart(entryCount, now);
		if (retries + 1 > retryBudgetShare * (ratio * requests + fixed)) {
			return false;
		}

		this._held++;
		return true;
	}

	/** Notes that a retry that was taken is sent. */
	noteSent(now: number): void {
		this._held--;
		this._bucketAt(now).retries++;
	}

	/** Gives back a retry that was taken and is not sent. */
	giveBack(): void {
		this._held--;
	}

	/**
	 * Requests of the window that ends now, and retries that were sent in it or may still be. Of the bucket that overlaps the
	 * window only in part, all retries count and no requests.
	 */
	counts(now: number): RetryCounts {
		this._bucketAt(now);
		const {windowMs} = this._options.limit();
		let requests = 0;
		let retries = this._held;
		for (const past of this._buckets) {
			requests += now - past.startedAt <= windowMs ? past.requests : 0;
			retries += past.retries;
		}

		return {requests, retries};
	}

	/** This entry's part of the fixed retries; none while it may have been used, or it is not known how large it is. */
	private _fixedPart(entryCount: number | undefined, now: number): number {
		const {limit, startedAt, isFirstStart} = this._options;
		const {windowMs, extra} = limit();
		const isUnused = isFirstStart || now - startedAt >= windowMs;
		return entryCount === undefined || !isUnused
			? 0
			: extra / Math.max(entryCount, minBudgetEntries);
	}

	private _bucketAt(now: number): Bucket {
		const {windowMs} = this._options.limit();
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
