import type {QueuedRequest, RequestQueue} from './request-queue.js';

/** FIFO queue over all customers, as a baseline for comparison. */
export class ArrivalQueue implements RequestQueue {
	static create(): ArrivalQueue {
		return new ArrivalQueue();
	}

	private readonly _waiting = new Set<QueuedRequest>();
	private _tokens = 0;

	private constructor() {}

	add(request: QueuedRequest): void {
		this._waiting.add(request);
		this._tokens += request.cost;
	}

	remove(request: QueuedRequest): void {
		if (this._waiting.delete(request)) {
			this._tokens -= request.cost;
		}
	}

	inOrder(): Iterable<QueuedRequest> {
		return this._waiting.values();
	}

	onStarted(request: QueuedRequest): void {
		this.remove(request);
	}

	onFinished(): void {
		// Usage per customer is not tracked.
	}

	tokensAhead(): number {
		return this._tokens;
	}

	/** Empty, since the wait does not depend on the customer. */
	waitingCustomers(): ReadonlyMap<string, number> {
		return new Map();
	}

	pickRequestToDrop(newest: QueuedRequest): QueuedRequest {
		return newest;
	}
}
