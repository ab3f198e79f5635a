import type {
	ClaimResult,
	ConfigChange,
	ConfigView,
	Host,
	RecordedOutcome,
} from '@balsamtray/core';

/** Releases resources such as listeners, timers and sockets. */
export type Disposable = {
	dispose(): void;
};

/** Returns the time of the wall clock in milliseconds since the Unix epoch. */
export type Clock = () => number;

/** This process's copy of the configuration. */
export type ConfigService = {
	view(): ConfigView;
	/** Whether the configuration was read from the store or a peer since the process started. The process may serve only then. */
	isReady(): boolean;
	/** Changes after the version, or undefined if they are no longer kept. */
	changesAfter(version: number): readonly ConfigChange[] | undefined;
	/** Applies changes received from a peer: all of them, or none if one is malformed. */
	learn(source: string, changes: readonly ConfigChange[]): void;
	/** Records that a peer has the version, and fetches the changes if it is newer. */
	notePeerVersion(peer: string, version: number): void;
	onAdvanced(listener: (view: ConfigView) => void): Disposable;
};

/** The platform's list of hosts, as last read by this process. */
export type MembershipService = {
	hosts(): readonly Host[];
	find(id: string): Host | undefined;
	onChanged(listener: (hosts: readonly Host[]) => void): Disposable;
};

/** Result of a reservation of tokens. */
export type ReserveResult =
	| {readonly kind: 'reserved'}
	| {readonly kind: 'refused'; readonly retryAfterMs?: number};

/** Enforces each customer's token rate over all hosts. */
export type RateService = {
	reserve(
		requestId: string,
		customer: string,
		tokens: number,
	): Promise<ReserveResult>;
	/** Returns tokens that a request reserved and did not use. Without `requestId` they can't be credited. */
	returnTokens(customer: string, tokens: number, requestId?: string): void;
};

/** Claims on idempotency keys. */
export type ClaimService = {
	claim(
		claimId: string,
		customer: string,
		idempotencyKey: string,
		bodyDigest: string,
	): Promise<ClaimResult>;
	record(
		claimId: string,
		customer: string,
		idempotencyKey: string,
		outcome: RecordedOutcome,
	): Promise<void>;
	/** Frees a key whose call certainly did not run. */
	release(
		claimId: string,
		customer: string,
		idempotencyKey: string,
	): Promise<void>;
};

/** Sends counters, gauges and timings. Tags are sent as `name:value` pairs. */
export type Metrics = {
	increment(name: string, tags?: Readonly<Record<string, string>>): void;
	gauge(
		name: string,
		value: number,
		tags?: Readonly<Record<string, string>>,
	): void;
	timing(
		name: string,
		milliseconds: number,
		tags?: Readonly<Record<string, string>>,
	): void;
};

/** Logs state changes, one JSON line each. Keys and bodies must never be passed to it. */
export type Logger = {
	info(event: string, fields?: Readonly<Record<string, unknown>>): void;
	warn(event: string, fields?: Readonly<Record<string, unknown>>): void;
	error(event: string, fields?: Readonly<Record<string, unknown>>): void;
};

/** A span of a request's trace. */
export type Span = {
	/** W3C trace context for child spans and calls to other processes. */
	readonly traceparent: string;
	setAttribute(name: string, value: string | number | boolean): void;
	end(outcome: string): void;
};

/** Starts spans. */
export type Tracer = {
	startSpan(name: string, parentTraceparent?: string): Span;
};

/** Metrics, logger and tracer of a task. */
export type Telemetry = {
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly tracer: Tracer;
};
