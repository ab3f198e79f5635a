import type {Dispatch} from './types.js';

/** A request that waits at the agent. */
export type QueuedRequest = {
	readonly dispatch: Dispatch;
	/** Name under which the backend server serves the adapter version. Absent for a plain service. */
	readonly servedName?: string;
	readonly arrivedAt: number;
	/** Time by which the answer must have started. */
	readonly deadlineAt: number;
	/** Tokens that the request is expected to use. */
	readonly cost: number;
};

/** Order in which waiting requests run. */
export type RequestQueue = {
	add(request: QueuedRequest): void;
	remove(request: QueuedRequest): void;
	/** Waiting requests, the one that should run first in front. The queue must not change meanwhile. */
	inOrder(): Iterable<QueuedRequest>;
	/** The request leaves the queue to run. */
	onStarted(request: QueuedRequest): void;
	/** A started request has ended and used so many tokens. */
	onFinished(request: QueuedRequest, tokens: number): void;
	/** Tokens expected to be served before a new request of the customer. */
	tokensAhead(customer: string, weight: number): number;
	/** Customers that have work waiting, with their weights. */
	waitingCustomers(): ReadonlyMap<string, number>;
	/** The request that must go when there is room for all but one. The new one counts as waiting. */
	pickDrop(newest: QueuedRequest): QueuedRequest;
};
