import type {QueuedRequest, RequestQueue} from './request-queue.js';

type Account = {
	readonly customer: string;
	weight: number;
	/** Tokens served, divided by the weight. */
	served: number;
	running: number;
	/** Earliest deadline first. */
	readonly waiting: QueuedRequest[];
	waitingTokens: number;
};

/**
 * Shares a backend server between customers by tokens served, in proportion to their weights
 * (virtual token counter; Sheng et al., Fairness in Serving Large Language Models, OSDI 2024).
 *
 * A customer that comes back from idling starts at the smallest counter of the busy ones,
 * so that idle time earns no credit. Within a customer the earliest deadline goes first.
 * The expected cost is charged at the start and settled at the end.
 */
export class FairQueue implements RequestQueue {
	static create(): FairQueue {
		return new FairQueue();
	}

	private readonly _accounts = new Map<string, Account>();

	private constructor() {}

	add(request: QueuedRequest): void {
		const account = this._accountOf(request);
		if (!isBusy(account)) {
			account.served = Math.max(account.served, this._smallestServed());
		}

		account.weight = request.dispatch.weight;
		account.waiting.splice(positionOf(account.waiting, request), 0, request);
		account.waitingTokens += request.cost;
	}

	remove(request: QueuedRequest): void {
		takeOut(this._accountOf(request), request);
		this._dropIdle();
	}

	*inOrder(): Generator<QueuedRequest> {
		const cursors = [...this._accounts.values()]
			.filter(({waiting}) => waiting.length > 0)
			.map(({waiting, served, weight}) => ({
				waiting,
				weight,
				next: 0,
				counter: served,
			}));
		while (cursors.length > 0) {
			const cursor = leastServed(cursors);
			const request = cursor.waiting[cursor.next]!;
			yield request;
			cursor.counter += request.cost / cursor.weight;
			cursor.next++;
			if (cursor.next === cursor.waiting.length) {
				cursors.splice(cursors.indexOf(cursor), 1);
			}
		}
	}

	onStarted(request: QueuedRequest): void {
		const account = this._accountOf(request);
		takeOut(account, request);
		account.running++;
		account.served += request.cost / account.weight;
	}

	onFinished(request: QueuedRequest, tokens: number): void {
		const account = this._accountOf(request);
		account.running--;
		account.served += (tokens - request.cost) / account.weight;
		this._dropIdle();
	}

	tokensAhead(customer: string, weight: number): number {
		let all = 0;
		let busyWeights = weight;
		for (const account of this._accounts.values()) {
			all += account.waitingTokens;
			if (account.customer !== customer && account.waiting.length > 0) {
				busyWeights += account.weight;
			}
		}

		const own = this._accounts.get(customer)?.waitingTokens ?? 0;
		return Math.min(all, (own * busyWeights) / weight);
	}

	waitingCustomers(): ReadonlyMap<string, number> {
		const customers = new Map<string, number>();
		for (const {customer, weight, waiting} of this._accounts.values()) {
			if (waiting.length > 0) {
				customers.set(customer, weight);
			}
		}

		return customers;
	}

	/** The last request of the customer that has the most tokens waiting for its weight. */
	pickDrop(newest: QueuedRequest): QueuedRequest {
		let drop = newest;
		let largest = 0;
		for (const account of this._accounts.values()) {
			const isOfNewest = account.customer === newest.dispatch.customer;
			const tokens = account.waitingTokens + (isOfNewest ? newest.cost : 0);
			const share = tokens / account.weight;
			const last = account.waiting.at(-1);
			if (last && share > largest) {
				largest = share;
				drop = isOfNewest ? newest : last;
			}
		}

		return drop;
	}

	private _accountOf({dispatch}: QueuedRequest): Account {
		let account = this._accounts.get(dispatch.customer);
		if (!account) {
			account = {
				customer: dispatch.customer,
				weight: dispatch.weight,
				served: this._smallestServed(),
				running: 0,
				waiting: [],
				waitingTokens: 0,
			};
			this._accounts.set(dispatch.customer, account);
		}

		return account;
	}

	/** Smallest counter of the busy customers; the largest of all where nobody is busy. */
	private _smallestServed(): number {
		let smallestBusy = Number.POSITIVE_INFINITY;
		let largest = 0;
		for (const account of this._accounts.values()) {
			largest = Math.max(largest, account.served);
			if (isBusy(account)) {
				smallestBusy = Math.min(smallestBusy, account.served);
			}
		}

		return Number.isFinite(smallestBusy) ? smallestBusy : largest;
	}

	/** Forgets idle customers that would start at the smallest busy counter anyway. */
	private _dropIdle(): void {
		const smallest = this._smallestServed();
		for (const account of this._accounts.values()) {
			if (!isBusy(account) && account.served <= smallest) {
				this._accounts.delete(account.customer);
			}
		}
	}
}

function isBusy({running, waiting}: Account): boolean {
	return running > 0 || waiting.length > 0;
}

function takeOut(account: Account, request: QueuedRequest): void {
	const index = account.waiting.indexOf(request);
	if (index !== -1) {
		account.waiting.splice(index, 1);
		account.waitingTokens -= request.cost;
	}
}

/** Index at which the request belongs: after those with an earlier or the same deadline. */
function positionOf(
	waiting: readonly QueuedRequest[],
	request: QueuedRequest,
): number {
	let index = waiting.length;
	while (index > 0 && waiting[index - 1]!.deadlineAt > request.deadlineAt) {
		index--;
	}

	return index;
}

function leastServed<T extends {readonly counter: number}>(
	cursors: readonly T[],
): T {
	let least = cursors[0]!;
	for (const cursor of cursors) {
		if (cursor.counter < least.counter) {
			least = cursor;
		}
	}

	return least;
}
