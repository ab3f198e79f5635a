import {
	retryBudgetCapacity,
	retriesPerSecond,
	retriesPerDispatch,
} from './constants.js';

/** Token bucket that limits an entry's retries to a share of its traffic, so that retries can't amplify an overload. */
export class RetryBudget {
	static create(now: number): RetryBudget {
		return new RetryBudget(now);
	}

	private _available = retryBudgetCapacity;
	private _refilledAt: number;

	private constructor(now: number) {
		this._refilledAt = now;
	}

	/** Adds the share of a retry that the first dispatch of a request earns. */
	noteFirstDispatch(): void {
		this._add(retriesPerDispatch);
	}

	/** Takes one retry from the budget. Returns false if none is available. */
	tryTake(now: number): boolean {
		this._add((Math.max(0, now - this._refilledAt) * retriesPerSecond) / 1000);
		this._refilledAt = Math.max(now, this._refilledAt);
		if (this._available < 1) {
			return false;
		}

		this._available--;
		return true;
	}

	private _add(retries: number): void {
		this._available = Math.min(retryBudgetCapacity, this._available + retries);
	}
}
