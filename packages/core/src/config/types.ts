/** A customer with its rate limit and its scheduling weight. */
export type Customer = {
	readonly name: string;
	/** Sustained rate across all hosts, in tokens per second. */
	readonly tokensPerSecond: number;
	/** Maximum burst across all hosts, in tokens. */
	readonly burstTokens: number;
	/** Relative share of the capacity of a busy engine. */
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
	/** Version used when the caller names none. */
	readonly currentVersion: string;
};

/** Target of a route. A model route is an alias of an adapter; a service route is a path under `/services/{route}/`. */
export type RouteTarget =
	| {
			readonly kind: 'adapter';
			readonly adapter: string;
			readonly version?: string;
	  }
	| {readonly kind: 'service'; readonly service: string};

/** A name that callers address requests to. */
export type Route = {
	readonly name: string;
	readonly target: RouteTarget;
	/** Set on an open route, which accepts requests without a key: the customer that they are charged to. */
	readonly openCustomer?: string;
	/** Customers that may use the route. Empty: all customers. */
	readonly customers: readonly string[];
	/** Whether a call may safely run more than once. */
	readonly isRepeatable: boolean;
	/** Tokens charged for each call of a service route. */
	readonly tokensPerCall: number;
};

/** A caller's key as stored. Its secret is stored only as a salted digest. */
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

/** One operation of a change. A document is applied as its difference from the current state. */
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
	/** Unique identifier chosen by the author. If the answer to the write is lost, the author looks the change up by it. */
	readonly changeId: string;
	readonly author: string;
	/** Time at which the author wrote the change, in milliseconds since the epoch. */
	readonly writtenAt: number;
	readonly summary: string;
	readonly ops: readonly ConfigOp[];
};

/** The configuration at one version as plain data, the format of snapshots. */
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
	 * Version of the last change to the subject. If this process knows of no such change, returns the version of the
	 * snapshot that it started from, because a change before the snapshot may have touched the subject.
	 * Subjects have the forms `customer:NAME`, `adapter:NAME`, `route:NAME`, `key:ID`, `zone:NAME`, `server:NAME`, `document`.
	 */
	lastChangeVersion(subject: string): number;
	customers(): Iterable<Customer>;
	adapters(): Iterable<Adapter>;
	routes(): Iterable<Route>;
	toSnapshot(): ConfigSnapshot;
};
