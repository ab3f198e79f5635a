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

/** A call to run on the backend server. */
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

/** Takes an answer as it arrives from the backend server. */
export type AnswerSink = {
	/** The head of the answer. Nothing went out before it. */
	begin(status: number, contentType: string): void;
	/** Resolves once there is room for more, or the receiver is gone. */
	write(chunk: Uint8Array): Promise<void>;
	onTokens(tokens: number): void;
};

/** How a call to the backend server ended. */
export type CallOutcome =
	| {readonly kind: 'completed'; readonly usage: Usage}
	| {readonly kind: 'failed'; readonly fault: BackendFault};

/** What the task of an agent is created from. */
export type AgentTaskOptions = {
	readonly settings: AgentSettings;
	/** Address of the backend server, without a trailing slash. */
	readonly backendUrl: string;
	/** Number that orders carry. A later start of an agent on the same host has a greater one. */
	readonly fencingToken: number;
	readonly config: ConfigService;
	readonly membership: MembershipService;
	readonly telemetry: Telemetry;
	readonly clock: Clock;
	/** Tells the entries which fingerprints ran on the backend server when it died. */
	readonly reportSuspects: (
		fingerprints: readonly string[],
		bootId: string,
	) => void;
};
