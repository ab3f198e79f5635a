/** A customer, its share of the fleet and its rate. */
export type Customer = {
	readonly name: string;
	/** Sustained rate over all hosts together, in tokens a second. */
	readonly tokensPerSecond: number;
	/** Most tokens that may be spent at once, over all hosts together. */
	readonly burstTokens: number;
	/** Relative share of a busy engine. */
	readonly weight: number;
};

/** One immutable version of an adapter's weights. */
export type AdapterVersion = {
	readonly name: string;
	/** Name of the weights in the weight store. */
	readonly weights: string;
};

/** A LoRA adapter with its versions. */
export type Adapter = {
	readonly name: string;
	readonly baseModel: string;
	/** Customers that may use the adapter. Empty: all customers. */
	readonly customers: readonly string[];
	readonly versions: readonly AdapterVersion[];
	/** Version that runs when the caller names none. */
	readonly currentVersion: string;
};

/** What a route leads to. A model route is an alias of an adapter, a service route a path under `/services/{route}/`. */
export type RouteTarget =
	| {
			readonly kind: 'adapter';
			readonly adapter: string;
			readonly version?: string;
	  }
	| {readonly kind: 'service'; readonly service: string};

/** A name under which callers send work. */
export type Route = {
	readonly name: string;
	readonly target: RouteTarget;
	/** A route open to all takes requests without a key, on the account of `openCustomer`. */
	readonly openCustomer?: string;
	/** Customers that may use the route. Empty: all customers. */
	readonly customers: readonly string[];
	/** Whether a call may run more than once. */
	readonly isRepeatable: boolean;
	/** Tokens charged for each call to a service. */
	readonly tokensPerCall: number;
};

/** A caller's key as stored: its secret is kept only as a salted digest. */
export type KeyRecord = {
	readonly id: string;
	readonly customer: string;
	/** Hexadecimal salt. */
	readonly salt: string;
	/** Hexadecimal SHA-256 of salt and secret. */
	readonly digest: string;
	/** Milliseconds since the epoch. */
	readonly issuedAt: number;
};

/** One elementary step of a change. Documents are applied as their difference from the present state. */
export type ConfigOp =
	| {readonly op: 'putCustomer'; readonly customer: Customer}
	| {readonly op: 'deleteCustomer'; readonly name: string}
	| {readonly op: 'putAdapter'; readonly adapter: Adapter}
	| {readonly op: 'deleteAdapter'; readonly name: string}
	| {readonly op: 'putRoute'; readonly route: Route}
	| {readonly op: 'deleteRoute'; readonly name: string}
	| {readonly op: 'setDocumentDigest'; readonly digest: string}
	| {readonly op: 'issueKey'; readonly key: KeyRecord}
	| {readonly op: 'withdrawKey'; readonly keyId: string}
	| {readonly op: 'takeZoneOut'; readonly zone: string}
	| {readonly op: 'bringZoneIn'; readonly zone: string}
	| {readonly op: 'drainServer'; readonly server: string}
	| {readonly op: 'undrainServer'; readonly server: string};

/** One accepted change of the configuration. Changes are numbered from 1 without gaps. */
export type ConfigChange = {
	readonly version: number;
	/** Unique identifier that its author chose, to recognise it after a lost answer. */
	readonly changeId: string;
	readonly author: string;
	/** Milliseconds since the epoch at which its author wrote it. */
	readonly writtenAt: number;
	readonly summary: string;
	readonly ops: readonly ConfigOp[];
};

/** The configuration at one version, as plain data. Also the form of a snapshot. */
export type ConfigSnapshot = {
	readonly version: number;
	readonly documentDigest: string;
	readonly customers: readonly Customer[];
	readonly adapters: readonly Adapter[];
	readonly routes: readonly Route[];
	readonly keys: readonly KeyRecord[];
	readonly withdrawnKeyIds: readonly string[];
	readonly zonesOut: readonly string[];
	readonly drainedServers: readonly string[];
};

/** Read-only view of the configuration at one version. Lookups take constant time. */
export type ConfigView = {
	readonly version: number;
	readonly documentDigest: string;
	customer(name: string): Customer | undefined;
	adapter(name: string): Adapter | undefined;
	route(name: string): Route | undefined;
	key(id: string): KeyRecord | undefined;
	isKeyWithdrawn(id: string): boolean;
	isZoneOut(zone: string): boolean;
	isServerDrained(server: string): boolean;
	/**
	 * Version of the last change that touched the subject. Where none is known to have, the version of the snapshot
	 * with which this process began: an earlier change may have touched the subject unknown to this process.
	 * Subjects are written `customer:NAME`, `adapter:NAME`, `route:NAME`, `key:ID`, `zone:NAME`, `server:NAME`, `document`.
	 */
	lastTouched(subject: string): number;
	customers(): Iterable<Customer>;
	adapters(): Iterable<Adapter>;
	routes(): Iterable<Route>;
	toSnapshot(): ConfigSnapshot;
};
