import type {
	ClaimResult,
	ConfigChange,
	ConfigView,
	Host,
	RecordedOutcome,
} from '@balsamtray/core';

/** Releases what its creator holds: listeners, timers, sockets. */
export type Disposable = {
	dispose(): void;
};

/** The present time in milliseconds since the epoch. */
export type Clock = () => number;

/** The configuration as this process knows it. */
export type ConfigService = {
	view(): ConfigView;
	/** Whether the process may serve: it has read the store or a peer since it started. */
	isReady(): boolean;
	/** Changes after the version, or undefined where they are no longer at hand. */
	changesAfter(version: number): readonly ConfigChange[] | undefined;
	/** Takes in changes that came from a peer. */
	learn(source: string, changes: readonly ConfigChange[]): void;
	/** Notes that a peer has the version, and catches up if it is newer. */
	seeVersion(peer: string, version: number): void;
	onAdvanced(listener: (view: ConfigView) => void): Disposable;
};

/** The platform's list of hosts as this process last read it. */
export type MembershipService = {
	hosts(): readonly Host[];
	find(id: string): Host | undefined;
	onChanged(listener: (hosts: readonly Host[]) => void): Disposable;
};

/** Outcome of a reservation of tokens. */
export type ReserveResult =
	| {readonly kind: 'reserved'}
	| {readonly kind: 'refused'; readonly retryAfterMs?: number};

/** A customer's rate over all hosts. */
export type RateService = {
	reserve(
		requestId: string,
		customer: string,
		tokens: number,
	): Promise<ReserveResult>;
	/** Returns tokens that the request reserved and did not use. Without its identifier they can't be credited. */
	giveBack(customer: string, tokens: number, requestId?: string): void;
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
	/** Frees a key whose call surely did not run. */
	release(
		claimId: string,
		customer: string,
		idempotencyKey: string,
	): Promise<void>;
};

/** Counters, gauges and timings. The tags are `name:value` pairs. */
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

/** Log of changes of state, one JSON line each. Never given keys or bodies. */
export type Logger = {
	info(event: string, fields?: Readonly<Record<string, unknown>>): void;
	warn(event: string, fields?: Readonly<Record<string, unknown>>): void;
	error(event: string, fields?: Readonly<Record<string, unknown>>): void;
};

/** A hop of a request's trace. */
export type Span = {
	/** W3C trace context to hand on. */
	readonly traceparent: string;
	setAttribute(name: string, value: string | number | boolean): void;
	end(outcome: string): void;
};

/** Starts spans. */
export type Tracer = {
	startSpan(name: string, parentTraceparent?: string): Span;
};

/** What each task gets to tell what it does. */
export type Telemetry = {
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly tracer: Tracer;
};
