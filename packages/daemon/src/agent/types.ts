import type {
	AgentCommand,
	AgentSettings,
	BackendFault,
	Usage,
} from '@balsamtray/core';
import type {DispatchCall} from '@balsamtray/protocol';
import type {
	Clock,
	ConfigService,
	MembershipService,
	Telemetry,
} from '../common/types.js';

/** The commands of one type. */
export type CommandOf<T extends AgentCommand['type']> = Extract<
	AgentCommand,
	{readonly type: T}
>;

/** A request to run on the backend server. */
export type BackendCall = {
	readonly attemptId: string;
	/** Served model name. Absent for a plain service. */
	readonly servedName?: string;
	readonly priority: number;
	readonly promptTokens: number;
	readonly call: DispatchCall;
	readonly body: Uint8Array;
	readonly traceparent?: string;
};

/** Receives a response as it arrives from the backend server. */
export type ResponseSink = {
	/** Sends the status and content type. Called once, before any `write`. */
	begin(status: number, contentType: string): void;
	/** Resolves once the receiver can take more data, or has disconnected. */
	write(chunk: Uint8Array): Promise<void>;
	/** Reports the number of tokens generated since the last call. */
	onTokens(tokens: number): void;
};

/** How a call to the backend server ended. */
export type CallOutcome =
	| {readonly kind: 'completed'; readonly usage: Usage}
	| {readonly kind: 'failed'; readonly fault: BackendFault};

/** Options of `AgentTask`. */
export type AgentTaskOptions = {
	readonly settings: AgentSettings;
	/** Address of the backend server, without a trailing slash. */
	readonly backendUrl: string;
	/** Fencing token of load and unload operations. A later start of an agent on the same host has a greater one. */
	readonly fencingToken: number;
	readonly config: ConfigService;
	readonly membership: MembershipService;
	readonly telemetry: Telemetry;
	readonly clock: Clock;
	/** Reports to the entries the fingerprints of the requests that were running when the backend server crashed. */
	readonly reportSuspects: (
		fingerprints: readonly string[],
		bootId: string,
	) => void;
};
