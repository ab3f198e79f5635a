type Account = {
	weight: number;
	/** Tokens served, divided by the weight. */
	counter: number;
	/** Number of requests that wait or run. */
	requests: number;
};

/**
 * Virtual token counters of customers (Sheng et al., Fairness in Serving Large Language Models, OSDI 2024). The customer
 * with the smallest counter is served next, so busy customers get tokens in proportion to their weights.
 *
 * A customer that returns from idle starts at the smallest counter of the busy customers, so idle time earns no credit.
 */
export class TokenCounters {
	static create(): TokenCounters {
		return new TokenCounters();
	}

	private readonly _accounts = new Map<string, Account>();

	private constructor() {}

	/** Number of customers whose counter is kept. */
	get size(): number {
		return this._accounts.size;
	}

	/** Returns the customer's counter, or the one that it would start at. */
	counter(customer: string): number {
		return this._accounts.get(customer)?.counter ?? this._smallestCounter();
	}

	weight(customer: string): number {
		return this._accounts.get(customer)?.weight ?? 1;
	}

	/** Notes a request of the customer that now waits or runs. */
	enter(customer: string, weight: number): void {
		const account = this._accounts.get(customer);
		if (account === undefined) {
			const counter = this._smallestCounter();
			this._accounts.set(customer, {weight, counter, requests: 1});
			return;
		}

		if (account.requests === 0) {
			account.counter = Math.max(account.counter, this._smallestCounter());
		}

		account.weight = weight;
		account.requests++;
	}

	/** Notes the end of a request that was entered. */
	leave(customer: string): void {
		const account = this._accounts.get(customer);
		if (account !== undefined) {
			account.requests--;
			this._deleteIdleAccounts();
		}
	}

	/** Adds tokens to the customer's counter. A negative number corrects an earlier charge. */
	charge(customer: string, tokens: number): void {
		const account = this._accounts.get(customer);
		if (account !== undefined) {
			account.counter += tokens / account.weight;
		}
	}

	/** Returns the smallest counter of the busy customers, or the largest of all if none is busy. */
	private _smallestCounter(): number {
		let smallestBusy = Number.POSITIVE_INFINITY;
		let largest = 0;
		for (const {counter, requests} of this._accounts.values()) {
			largest = Math.max(largest, counter);
			if (requests > 0) {
				smallestBusy = Math.min(smallestBusy, counter);
			}
		}

		return Number.isFinite(smallestBusy) ? smallestBusy : largest;
	}

	/** Deletes idle accounts that would start at the smallest busy counter anyway. */
	private _deleteIdleAccounts(): void {
		const smallest = this._smallestCounter();
		for (const [customer, {counter, requests}] of this._accounts) {
			if (requests === 0 && counter <= smallest) {
				this._accounts.delete(customer);
			}
		}
	}
}
