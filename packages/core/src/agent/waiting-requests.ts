import type {WantedAdapter} from './adapter-loader.js';
import type {QueuedRequest, RequestQueue} from './request-queue.js';

/** Tracks the waiting requests, indexed by attempt and adapter version, over the policy's queue. */
export class WaitingRequests {
	static create(queue: RequestQueue): WaitingRequests {
		return new WaitingRequests(queue);
	}

	private readonly _byAttempt = new Map<string, QueuedRequest>();
	/** Number of waiting requests by served name. */
	private readonly _waiterCounts = new Map<string, number>();
	private _tokens = 0;

	private constructor(private readonly _queue: RequestQueue) {}

	get size(): number {
		return this._byAttempt.size;
	}

	/** Expected number of tokens that all waiting requests use. */
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

	/** Removes a request that will not run. */
	remove(request: QueuedRequest): void {
		this._deleteRequest(request);
		this._queue.remove(request);
	}

	/** Removes a request that starts to run. */
	start(request: QueuedRequest): void {
		this._deleteRequest(request);
		this._queue.onStarted(request);
	}

	all(): readonly QueuedRequest[] {
		return [...this._byAttempt.values()];
	}

	inOrder(): Iterable<QueuedRequest> {
		return this._queue.inOrder();
	}

	/** Returns the earliest deadline, or infinity if no request waits. */
	earliestDeadlineAt(): number {
		let earliest = Number.POSITIVE_INFINITY;
		for (const {deadlineAt} of this._byAttempt.values()) {
			earliest = Math.min(earliest, deadlineAt);
		}

		return earliest;
	}

	hasWaiters(servedName: string): boolean {
		return this._waiterCounts.has(servedName);
	}

	/** Returns the served names of the adapter versions that waiting requests need. */
	servedNames(): readonly string[] {
		return [...this._waiterCounts.keys()];
	}

	/** Returns the adapter versions that waiting requests need, in queue order. */
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
				const waiters = this._waiterCounts.get(servedName) ?? 0;
				wanted.set(servedName, {servedName, weights, customer, share, waiters});
			}
		}

		return [...wanted.values()];
	}

	private _deleteRequest(request: QueuedRequest): void {
		this._tokens -= request.cost;
		this._byAttempt.delete(request.dispatch.attemptId);
		this._countWaiter(request.servedName, -1);
	}

	private _countWaiter(servedName: string | undefined, change: number): void {
		if (servedName === undefined) {
			return;
		}

		const count = (this._waiterCounts.get(servedName) ?? 0) + change;
		if (count === 0) {
			this._waiterCounts.delete(servedName);
		} else {
			this._waiterCounts.set(servedName, count);
		}
	}
}
