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

/** What an entry needs. */
export type EntryTaskOptions = {
	readonly hostId: string;
	readonly region: string;
	/** Time in which an answer must have started where the caller names none. */
	readonly deadlineMs: number;
	/** Time between being not ready and refusing new work, in which balancers take notice. */
	readonly notReadyLeadMs?: number;
	readonly rate: RateService;
	readonly claims: ClaimService;
	readonly config: ConfigService;
	readonly membership: MembershipService;
	readonly telemetry: Telemetry;
	readonly clock: Clock;
	readonly checkKey: (view: ConfigView, text: string | undefined) => Credential;
	/** Dispatcher of undici for calls to peers, taken anew for each call. */
	readonly dispatcher: () => Dispatcher;
	/** URL of a peer's address. */
	readonly peerUrl: (address: string) => string;
	/** Asks an agent for its state. */
	readonly probe: (peerAddress: string) => Promise<ServerStatus>;
	readonly policy?: RoutingPolicy;
};

/** A caller's request after its HTTP form was checked. */
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

/** Numbers of an entry for operators. */
export type EntryStats = EntryCoreStats & {
	readonly isReady: boolean;
	/** Requests since the start, by outcome: `answered`, `cut`, `gone`, `replayed` or a refusal's code. */
	readonly outcomes: Readonly<Record<string, number>>;
};
