import {TokenCounters} from '../contention/token-counters.js';
import type {QueuedRequest, RequestQueue} from './request-queue.js';

type Account = {
	readonly customer: string;
	weight: number;
	running: number;
	/** Sorted by deadline, earliest first. */
	readonly waiting: QueuedRequest[];
	waitingTokens: number;
};

/**
 * Fair queue that serves customers tokens in proportion to their weights, see `TokenCounters`.
 *
 * Within a customer, the earliest deadline runs first.
 * The expected cost is charged at the start and corrected to the actual usage at the end.
 */
export class FairQueue implements RequestQueue {
	static create(): FairQueue {
		return new FairQueue();
	}

	private readonly _accounts = new Map<string, Account>();
	private readonly _counters = TokenCounters.create();

	private constructor() {}

	add(request: QueuedRequest): void {
		const {customer, weight} = request.dispatch;
		const account = this._accountOf(request);
		this._counters.enter(customer, weight);
		account.weight = weight;
		account.waiting.splice(
			insertionIndexOf(account.waiting, request),
			0,
			request,
		);
		account.waitingTokens += request.cost;
	}

	remove(request: QueuedRequest): void {
		const account = this._accountOf(request);
		if (removeWaiting(account, request)) {
			this._counters.leave(account.customer);
		}

		this._deleteIfIdle(account);
	}

	*inOrder(): Generator<QueuedRequest> {
		const cursors = [...this._accounts.values()]
			.filter(({waiting}) => waiting.length > 0)
			.map(({customer, waiting, weight}) => ({
				waiting,
				weight,
				next: 0,
				counter: this._counters.counter(customer),
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
		if (!removeWaiting(account, request)) {
			this._counters.enter(account.customer, account.weight);
		}

		account.running++;
		this._counters.charge(account.customer, request.cost);
	}

	onFinished(request: QueuedRequest, tokens: number): void {
		const account = this._accountOf(request);
		account.running--;
		this._counters.charge(account.customer, tokens - request.cost);
		this._counters.leave(account.customer);
		this._deleteIfIdle(account);
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

	/** Returns the request with the latest deadline of the customer with the most waiting tokens per weight. */
	pickRequestToDrop(newest: QueuedRequest): QueuedRequest {
		let candidate = newest;
		let largest = 0;
		for (const account of this._accounts.values()) {
			const isOwnAccount = account.customer === newest.dispatch.customer;
			const tokens = account.waitingTokens + (isOwnAccount ? newest.cost : 0);
			const tokensPerWeight = tokens / account.weight;
			const last = account.waiting.at(-1);
			if (last && tokensPerWeight > largest) {
				largest = tokensPerWeight;
				candidate = isOwnAccount ? newest : last;
			}
		}

		return candidate;
	}

	private _accountOf({dispatch}: QueuedRequest): Account {
		let account = this._accounts.get(dispatch.customer);
		if (!account) {
			account = {
				customer: dispatch.customer,
				weight: dispatch.weight,
				running: 0,
				waiting: [],
				waitingTokens: 0,
			};
			this._accounts.set(dispatch.customer, account);
		}

		return account;
	}

	private _deleteIfIdle({customer, running, waiting}: Account): void {
		if (running === 0 && waiting.length === 0) {
			this._accounts.delete(customer);
		}
	}
}

/** Returns whether the request was waiting. */
function removeWaiting(account: Account, request: QueuedRequest): boolean {
	const index = account.waiting.indexOf(request);
	if (index !== -1) {
		account.waiting.splice(index, 1);
		account.waitingTokens -= request.cost;
	}

	return index !== -1;
}

/** Returns the index after all requests with an earlier or equal deadline. */
function insertionIndexOf(
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
