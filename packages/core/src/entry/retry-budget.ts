import {
	maxSavedRetries,
	retriesEachSecond,
	retriesForEachDispatch,
} from './constants.js';

/** Bounds the retries of an entry to a share of its traffic, so that retries can't multiply an overload. */
export class RetryBudget {
	static create(now: number): RetryBudget {
		return new RetryBudget(now);
	}

	private _saved = maxSavedRetries;
	private _refilledAt: number;

	private constructor(now: number) {
		this._refilledAt = now;
	}

	/** A first dispatch earns a part of a retry. */
	noteFirstDispatch(): void {
		this._save(retriesForEachDispatch);
	}

	/** Spends one retry if there is one. */
	tryTake(now: number): boolean {
		this._save(
			(Math.max(0, now - this._refilledAt) * retriesEachSecond) / 1000,
		);
		this._refilledAt = Math.max(now, this._refilledAt);
		if (this._saved < 1) {
			return false;
		}

		this._saved--;
		return true;
	}

	private _save(retries: number): void {
		this._saved = Math.min(maxSavedRetries, this._saved + retries);
	}
}
