import type {QueuedRequest, RequestQueue} from './request-queue.js';

/** First come, first served over all customers, for comparison. */
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
		// Nothing is counted for each customer.
	}

	tokensAhead(): number {
		return this._tokens;
	}

	/** Customers don't matter here. */
	waitingCustomers(): ReadonlyMap<string, number> {
		return new Map();
	}

	pickDrop(newest: QueuedRequest): QueuedRequest {
		return newest;
	}
}
