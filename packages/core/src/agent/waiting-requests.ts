import type {WantedAdapter} from './adapter-loader.js';
import type {QueuedRequest, RequestQueue} from './request-queue.js';

/** The waiting requests in the policy's order, with lookups by attempt and by adapter version. */
export class WaitingRequests {
	static create(queue: RequestQueue): WaitingRequests {
		return new WaitingRequests(queue);
	}

	private readonly _byAttempt = new Map<string, QueuedRequest>();
	private readonly _waiters = new Map<string, number>();
	private _tokens = 0;

	private constructor(private readonly _queue: RequestQueue) {}

	get size(): number {
		return this._byAttempt.size;
	}

	/** Tokens that all waiting requests are expected to use. */
	get tokens(): number {
		return this._tokens;
	}

	add(request: QueuedRequest): void {
		this._tokens += request.cost;
		this._byAttempt.set(request.dispatch.attemptId, request);
		this._countWaiter(request.servedName, 1);
		this._queue.add(request);
	}

	get(attemptId: string): QueuedRequest | undefined {
		return this._byAttempt.get(attemptId);
	}

	/** Takes a request out that will not run. */
	remove(request: QueuedRequest): void {
		this._forget(request);
		this._queue.remove(request);
	}

	/** Takes a request out that runs now. */
	start(request: QueuedRequest): void {
		this._forget(request);
		this._queue.onStarted(request);
	}

	all(): readonly QueuedRequest[] {
		return [...this._byAttempt.values()];
	}

	inOrder(): Iterable<QueuedRequest> {
		return this._queue.inOrder();
	}

	/** Infinity where nothing waits. */
	earliestDeadlineAt(): number {
		let earliest = Number.POSITIVE_INFINITY;
		for (const {deadlineAt} of this._byAttempt.values()) {
			earliest = Math.min(earliest, deadlineAt);
		}

		return earliest;
	}

	hasWaiters(servedName: string): boolean {
		return this._waiters.has(servedName);
	}

	/** Names of the adapter versions that waiting requests need. */
	servedNames(): readonly string[] {
		return [...this._waiters.keys()];
	}

	/** Adapter versions that waiting requests need, in the order of the requests. */
	wantedAdapters(): readonly WantedAdapter[] {
		const wanted = new Map<string, WantedAdapter>();
		for (const {servedName, dispatch} of this._queue.inOrder()) {
			if (
				servedName !== undefined &&
				dispatch.target.kind === 'adapter' &&
				!wanted.has(servedName)
			) {
				const {customer, weight: share} = dispatch;
				const {weights} = dispatch.target;
				const waiters = this._waiters.get(servedName) ?? 0;
				wanted.set(servedName, {servedName, weights, customer, share, waiters});
			}
		}

		return [...wanted.values()];
	}

	private _forget(request: QueuedRequest): void {
		this._tokens -= request.cost;
		this._byAttempt.delete(request.dispatch.attemptId);
		this._countWaiter(request.servedName, -1);
	}

	private _countWaiter(servedName: string | undefined, change: number): void {
		if (servedName === undefined) {
			return;
		}

		const count = (this._waiters.get(servedName) ?? 0) + change;
		if (count === 0) {
			this._waiters.delete(servedName);
		} else {
			this._waiters.set(servedName, count);
		}
	}
}
