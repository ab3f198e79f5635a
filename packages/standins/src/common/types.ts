/** One request that an engine or plain service ran or began to run. */
export type RanRequest = {
	readonly requestId: string;
	/** Served name of the adapter version, or the path of a plain service's call. */
	readonly servedName: string;
	readonly bootId: string;
	/** Text after `ref=` in the body, if any. */
	readonly ref?: string;
};

/** What an engine or plain service saw, for tests. Kept over its crashes. */
export type BackendRecord = {
	readonly requests: readonly RanRequest[];
	/** Requests begun for each text after `ref=` in a body. */
	readonly runsByRef: Readonly<Record<string, number>>;
	/** Requests begun for each request identifier. */
	readonly runsByRequestId: Readonly<Record<string, number>>;
	readonly completed: number;
	readonly cancelled: number;
	readonly mostAtOnce: number;
	/** Requests whose headers or body held a caller's key. */
	readonly keysSeen: number;
	readonly crashes: number;
	readonly loads: number;
	readonly failedLoads: number;
	readonly unloads: number;
	/** Adapters that were unloaded while a request ran on them. */
	readonly evictionsInUse: number;
	/** Requests that a cold engine was given beyond what it bore. */
	readonly overruns: number;
	/** Orders refused for an old fencing number. */
	readonly fencedOrders: number;
	/** Priorities with which requests came. */
	readonly priorities: readonly number[];
};
