/** What a route's requests allow. */
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** A service that takes a part of a route's requests. */
export type ServiceShare = {
	readonly service: string;
	/** Relative to the other shares of the route. */
	readonly weight: number;
};

/** Carries requests of one host name and path prefix to services. */
export type RouteRule = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Longest time until the final answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer is worth most, in milliseconds. */
	readonly targetMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly shares: readonly ServiceShare[];
	/** Most servers that one request may be sent to. */
	readonly maxAttempts: number;
	/** Whether requests need no key. */
	readonly isOpen: boolean;
	/** Whether a stream that broke off may go on at another server. */
	readonly isResumable: boolean;
};

/** A base model as the engines of a service hold it. */
export type ModelSpec = {
	readonly name: string;
	readonly megabytes: number;
};

/** What is known of the engines of a service. */
export type EngineSpec = {
	/** Requests that run at once. */
	readonly slots: number;
	/** Tokens that running requests and cached prompts may take. */
	readonly memoryTokens: number;
	/** Adapters that fit, with those on their way. */
	readonly adapterPlaces: number;
	readonly models: readonly ModelSpec[];
};

export type ServiceSpec = {
	readonly name: string;
	/** Connections that a server takes from all callers together. */
	readonly maxConnections: number;
	/** Requests a second that a cold server bears; 0 where servers do not turn cold. */
	readonly coldRequestsPerSecond: number;
	/** Time for which a server stays cold after its start, in milliseconds. */
	readonly coldMs: number;
	/** Absent for a plain service. */
	readonly engine: EngineSpec | undefined;
};

/** A customer with its keys and its rate over all hosts. */
export type CustomerRule = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Takes the place of the route's priority. */
	readonly priority: number | undefined;
	/** Units a second; 0 means no limit. */
	readonly unitsPerSecond: number;
	readonly burstUnits: number;
	/** Whether a unit is a token; otherwise it is a request. */
	readonly isMeteredInTokens: boolean;
	/** Tokens for which a request counts that does not say its size. */
	readonly plainTokens: number;
};

/** What callers may send and how long they may take. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** Configuration that an outside authority keeps and numbers. */
export type AuthorityConfig = {
	readonly version: number;
	readonly routes: readonly RouteRule[];
	readonly services: readonly ServiceSpec[];
	readonly limits: CallerLimits;
	/** Absent where requests need no key. */
	readonly customers: readonly CustomerRule[] | undefined;
};

/** One statement of the authority. */
export type AuthorityStatement =
	| {readonly type: 'config'; readonly config: AuthorityConfig}
	| {readonly type: 'zoneOut'; readonly zone: string}
	| {
			readonly type: 'adapterVersion';
			readonly model: string;
			readonly adapter: string;
			readonly version: number;
	  }
	/** The statement was taken back. */
	| {readonly type: 'withdrawn'};

/** A statement under its key, with the store's version of the row that holds it. */
export type AuthorityRow = {
	readonly key: string;
	readonly rowVersion: number;
	readonly statement: AuthorityStatement;
};
