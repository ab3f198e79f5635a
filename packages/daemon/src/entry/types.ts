import type {
	ConfigView,
	Credential,
	EntryCoreStats,
	RequestedWork,
	RoutingPolicy,
	ServerStatus,
} from '@balsamtray/core';
import type {DispatchCall} from '@balsamtray/protocol';
import type {Dispatcher} from 'undici';
import type {
	ClaimService,
	Clock,
	ConfigService,
	MembershipService,
	RateService,
	Telemetry,
} from '../common/types.js';
import type {CallerResponse} from './caller-response.js';

/** Settings and dependencies of an entry. */
export type EntryTaskOptions = {
	readonly hostId: string;
	readonly region: string;
	/** Default deadline for the start of an answer, in milliseconds, if the caller sets none. */
	readonly deadlineMs: number;
	/** Time between reporting not ready and refusing new work, in milliseconds, in which load balancers stop sending requests. Default 0. */
	readonly drainDelayMs?: number;
	readonly rate: RateService;
	readonly claims: ClaimService;
	readonly config: ConfigService;
	readonly membership: MembershipService;
	readonly telemetry: Telemetry;
	readonly clock: Clock;
	readonly checkKey: (view: ConfigView, text: string | undefined) => Credential;
	/** Returns the undici dispatcher for calls to peers. Called for each call, because the dispatcher changes with the certificates. */
	readonly dispatcher: () => Dispatcher;
	/** Builds the base URL for a peer's address. */
	readonly peerUrl: (address: string) => string;
	/** Requests the status of an agent. */
	readonly probe: (peerAddress: string) => Promise<ServerStatus>;
	readonly policy?: RoutingPolicy;
};

/** A caller's request after validation of its HTTP headers and body. */
export type IncomingCall = {
	readonly requestId: string;
	readonly credential: Credential;
	readonly work: RequestedWork;
	readonly call: DispatchCall;
	readonly body: Uint8Array;
	readonly isStreamed: boolean;
	readonly idempotencyKey?: string;
	readonly timeoutMs?: number;
	readonly traceparent?: string;
	readonly response: CallerResponse;
};

/** Statistics of an entry for operators. */
export type EntryStats = EntryCoreStats & {
	readonly isReady: boolean;
	/** Requests since the start by outcome: `answered`, `cut`, `gone` (the caller disconnected), `replayed` or the code of a refusal. */
	readonly outcomes: Readonly<Record<string, number>>;
};
