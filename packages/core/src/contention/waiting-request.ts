/** What a request waits for, by the last choice of a server for it. */
export type WaitCause =
	/** No usable server holds its adapter. */
	| 'awaitAdapter'
	/** All places are taken. */
	| 'full'
	/** Its prompt would wait too long at each engine. */
	| 'promptQueue'
	/** All servers turned requests away for a time. */
	| 'serversSuspended'
	/** All servers have used up the limits that they name. */
	| 'serversLimited'
	| 'noServer';

/** A request that waits for a server. Times are of one monotonic clock, in milliseconds. */
export type WaitingRequest = {
	readonly service: string;
	/** Base model; undefined for a plain service. */
	readonly model: string | undefined;
	/** As returned by `adapterKey`; undefined if it needs none. */
	readonly adapter: string | undefined;
	/** What else restricts the servers, as text: equal for requests that the same servers may run. */
	readonly restriction: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Empty for requests without a customer, which share as one. */
	readonly customer: string;
	/** Share of the customer among the others. */
	readonly weight: number;
	/** Tokens that the customer is charged once it proceeds. */
	readonly tokens: number;
	readonly arrivedAt: number;
	/** Latest time to proceed for an answer within the target; undefined without one. */
	readonly targetAt: number | undefined;
	/** Latest time to proceed for an answer within the deadline. */
	readonly deadlineAt: number;
	readonly cause: WaitCause;
};

/** A server at which a place may be free, or adapters were loaded. */
export type ServerOffer = {
	readonly service: string;
	/** Adapters that it holds, as returned by `adapterKey`. */
	readonly adapters: readonly string[];
	/** Number of requests that it can take; infinite if unknown. */
	readonly room: number;
};

/** What may help waiting requests. */
export type WaitEvent<R extends WaitingRequest> =
	| {readonly kind: 'offer'; readonly offer: ServerOffer}
	/** Requests were added behind others that wait for the same. */
	| {readonly kind: 'arrivals'; readonly requests: readonly R[]}
	/** The servers have changed. */
	| {readonly kind: 'all'}
	/** The time of some groups has come. */
	| {readonly kind: 'due'};
