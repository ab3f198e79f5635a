import type {RetryLimit} from './retry-allowance.js';

/** The window in which a service got most retries beyond the limit. */
export type RetryWindow = {
	/** End of the window. */
	readonly at: number;
	readonly retries: number;
	/** Requests that count for the window. */
	readonly requests: number;
	/** Retries beyond the limit; 0 or less if the limit holds. */
	readonly excess: number;
};

/** Checks the platform's limit on retries from what the servers of one service got from all entries. */
export class RetryAudit {
	static create(): RetryAudit {
		return new RetryAudit();
	}

	private readonly _requests: number[] = [];
	private readonly _retries: number[] = [];
	private readonly _arrived = new Set<string>();

	private constructor() {}

	/** Records a request of a caller. Times never decrease. */
	noteRequest(now: number): void {
		this._requests.push(now);
	}

	/** Records the arrival of a request at a server. Times never decrease. */
	noteArrival(id: string, now: number): void {
		if (this._arrived.has(id)) {
			this._retries.push(now);
		}

		this._arrived.add(id);
	}

	get retries(): number {
		return this._retries.length;
	}

	/**
	 * The window with the largest excess. The requests of a window are those in it, in the one before it or in the one half a
	 * window before it, whichever has most.
	 */
	worst({windowMs, ratio, extra}: RetryLimit): RetryWindow {
		let worst: RetryWindow = {at: 0, retries: 0, requests: 0, excess: -extra};
		for (const at of this._retries) {
			const retries = countWithin(this._retries, at, windowMs);
			const requests = Math.max(
				...[0, windowMs / 2, windowMs].map(agoMs =>
					countWithin(this._requests, at - agoMs, windowMs),
				),
			);
			const excess = retries - ratio * requests - extra;
			if (excess > worst.excess) {
				worst = {at, retries, requests, excess};
			}
		}

		return worst;
	}
}

/** Number of times in the window that ends at `end`, inclusive. */
function countWithin(
	times: readonly number[],
	end: number,
	windowMs: number,
): number {
	return times.filter(at => at > end - windowMs && at <= end).length;
}
