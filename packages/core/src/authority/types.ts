/** Delivery semantics of a route's requests. */
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** A service that gets a share of a route's requests. */
export type ServiceShare = {
	readonly service: string;
	/** Relative to the other shares of the route. */
	readonly weight: number;
};

/** Routes requests with one host name and path prefix to services. */
export type RouteRule = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Maximum time until the final answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Target response time, in milliseconds. Answers within it have the highest value. */
	readonly targetMs: number;
	/** Longest pause between two events of a stream within which it is on time, in milliseconds; absent without such a limit. */
	readonly maxPauseMs?: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly shares: readonly ServiceShare[];
	/** Maximum number of servers to which one request may be sent. */
	readonly maxAttempts: number;
	/** Whether requests are accepted without a key. */
	readonly isOpen: boolean;
	/** Whether an interrupted stream may resume on another server. */
	readonly isResumable: boolean;
};

/** A base model of a service's engines. */
export type ModelSpec = {
	readonly name: string;
	readonly megabytes: number;
};

/** Capacity and models of a service's engines. */
export type EngineSpec = {
	/** Maximum number of concurrent requests. */
	readonly slots: number;
	/** Memory for running requests and cached prompts, in tokens. */
	readonly memoryTokens: number;
	/** Maximum number of adapters, including pending loads. */
	readonly adapterPlaces: number;
	readonly models: readonly ModelSpec[];
};

/** A service and the limits of its servers. */
export type ServiceSpec = {
	readonly name: string;
	/** Maximum connections of a server from all callers together. */
	readonly maxConnections: number;
	/** Maximum requests per second to a cold server; 0 if servers have no cold phase. */
	readonly coldRequestsPerSecond: number;
	/** Time for which a server stays cold after its start, in milliseconds. */
	readonly coldMs: number;
	/** Undefined for a plain service. */
	readonly engine: EngineSpec | undefined;
};

/** A customer with its keys and its rate limit over all hosts. */
export type CustomerRule = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Overrides the route's priority. */
	readonly priority: number | undefined;
	/** Rate limit in units per second; 0 means no limit. */
	readonly unitsPerSecond: number;
	readonly burstUnits: number;
	/** Whether a unit is a token. Otherwise it is a request. */
	readonly isMeteredInTokens: boolean;
	/** Tokens charged for a request that does not state its size. */
	readonly plainTokens: number;
};

/** Size limits and timeouts of requests from callers. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** Configuration that an external authority maintains and numbers. */
export type AuthorityConfig = {
	readonly version: number;
	readonly routes: readonly RouteRule[];
	readonly services: readonly ServiceSpec[];
	readonly limits: CallerLimits;
	/** Undefined if requests need no key. */
	readonly customers: readonly CustomerRule[] | undefined;
};

/** A statement of the authority. */
export type AuthorityStatement =
	| {readonly type: 'config'; readonly config: AuthorityConfig}
	| {readonly type: 'zoneOut'; readonly zone: string}
	| {
			readonly type: 'adapterVersion';
			readonly model: string;
			readonly adapter: string;
			readonly version: number;
	  }
	/**
	 * Not of the authority: begins an era of the store. Once the era is settled, statements that were only read in earlier
	 * eras no longer count.
	 */
	| {readonly type: 'era'; readonly isSettled: boolean}
	/** Replaces a statement that the authority withdrew. */
	| {readonly type: 'withdrawn'};

/** A statement with its key and the store's version of its row. */
export type AuthorityRow = {
	readonly key: string;
	readonly rowVersion: number;
	/** Era of the store in which the row was read. 0 if absent. */
	readonly era?: number;
	readonly statement: AuthorityStatement;
};
