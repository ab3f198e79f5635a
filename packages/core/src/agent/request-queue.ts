import type {Dispatch} from './types.js';

/** A request that waits at the agent. */
export type QueuedRequest = {
	readonly dispatch: Dispatch;
	/** Name under which the backend server serves the adapter version. Absent for a plain service. */
	readonly servedName?: string;
	readonly arrivedAt: number;
	/** Time by which the answer must have started. */
	readonly deadlineAt: number;
	/** Expected number of tokens that the request uses. */
	readonly cost: number;
};

/** Queue that decides the order in which waiting requests run. */
export type RequestQueue = {
	add(request: QueuedRequest): void;
	remove(request: QueuedRequest): void;
	/** Iterates over the waiting requests, the next to run first. The queue must not change during iteration. */
	inOrder(): Iterable<QueuedRequest>;
	/** Removes a request from the queue because it starts to run. */
	onStarted(request: QueuedRequest): void;
	/** Handles the end of a running request that used `tokens` tokens. */
	onFinished(request: QueuedRequest, tokens: number): void;
	/** Expected number of tokens served before a new request of the customer starts. */
	tokensAhead(customer: string, weight: number): number;
	/** Returns the weights of customers with waiting requests by name. */
	waitingCustomers(): ReadonlyMap<string, number>;
	/** Returns the request to drop if the queue is full. The new one counts as waiting. */
	pickRequestToDrop(newest: QueuedRequest): QueuedRequest;
};
