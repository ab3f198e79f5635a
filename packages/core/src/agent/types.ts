import type {BackendKind} from '../membership/types.js';
import type {Refusal} from '../refusal/types.js';

/** What a dispatch asks the backend server to run. */
export type DispatchTarget =
	| {
			readonly kind: 'adapter';
			readonly adapter: string;
			readonly version: string;
			readonly weights: string;
	  }
	| {
			readonly kind: 'service';
			readonly service: string;
			readonly route: string;
	  };

/** One attempt to run a request, as an entry sends it to an agent. It never contains the caller's key. */
export type Dispatch = {
	/** Unique across all hosts. An agent process runs an attempt at most once. */
	readonly attemptId: string;
	readonly requestId: string;
	readonly entryId: string;
	/** Version of the configuration that the entry used to route the request. */
	readonly configVersion: number;
	readonly customer: string;
	readonly weight: number;
	/** ID of the key, never its secret. Absent on open routes. */
	readonly keyId?: string;
	readonly route?: string;
	readonly target: DispatchTarget;
	readonly isRepeatable: boolean;
	/** Estimated number of tokens in the prompt. */
	readonly promptTokens: number;
	/** Maximum number of tokens in the answer. */
	readonly maxTokens: number;
	/** Milliseconds left until the caller's deadline when the dispatch was sent. */
	readonly timeLeftMs: number;
	/** Digest of the request's content, used to recognise requests that crash backend servers. */
	readonly fingerprint: string;
	/** W3C trace context. */
	readonly traceparent?: string;
};

/** Load state of an adapter version on a backend server. Requests start immediately only if it is resident. */
export type AdapterState = 'resident' | 'loading' | 'absent';

/** Status that an agent reports with each answer and probe. */
export type ServerStatus = {
	readonly server: string;
	readonly zone: string;
	/** Differs for each start of the agent process. */
	readonly incarnation: string;
	readonly configVersion: number;
	readonly backend: BackendKind;
	readonly isAcceptingWork: boolean;
	readonly running: number;
	readonly queued: number;
	/** Concurrency limit of the backend server, assuming that its boot is confirmed. */
	readonly window: number;
	/** Estimated wait in milliseconds of a request queued behind all waiting ones, if its adapter is resident. */
	readonly expectedWaitMs: number;
	/** The same for a new request of a customer without waiting requests at the agent. */
	readonly lightWaitMs?: number;
	/** The same for customers with waiting requests, by name. Contains only the longest waits. */
	readonly customerWaitsMs?: Readonly<Record<string, number>>;
	/** State of the adapter version that the dispatch or probe names. */
	readonly adapterState: AdapterState;
};

/** Token usage of an answer. */
export type Usage = {
	readonly promptTokens: number;
	readonly completionTokens: number;
};

/** Health report of the backend server. */
export type BackendHealth = {
	/** Differs for each start of the backend server. */
	readonly bootId: string;
	readonly uptimeMs: number;
	/** Served names of the loaded adapter versions. */
	readonly loadedAdapters: readonly string[];
};

/** Why a request failed on the backend server. */
export type BackendFault =
	/** The connection was refused, so the request was not delivered. */
	| 'unreachable'
	/** The connection broke after the request may have been delivered. */
	| 'connection_lost'
	/** The backend server answered with an error before it ran the request. */
	| 'rejected'
	/** The backend server answered with an error while it ran the request. */
	| 'failed'
	/** The answer belongs to another request, adapter or version. */
	| 'mismatch';

/** Events that the agent core processes. */
export type AgentEvent =
	| {readonly type: 'dispatchArrived'; readonly dispatch: Dispatch}
	| {readonly type: 'dispatchCancelled'; readonly attemptId: string}
	| {
			readonly type: 'backendHealthy';
			readonly health: BackendHealth;
			/** Time at which the health check was sent. The report may lack later changes. */
			readonly askedAt: number;
	  }
	| {readonly type: 'backendUnreachable'}
	| {
			readonly type: 'loadCompleted';
			readonly loadId: string;
			readonly bootId: string;
	  }
	| {
			readonly type: 'loadFailed';
			readonly loadId: string;
			readonly reason: string;
	  }
	| {
			readonly type: 'unloadCompleted';
			readonly loadId: string;
	  }
	| {
			readonly type: 'unloadFailed';
			readonly loadId: string;
			readonly reason: string;
	  }
	| {
			readonly type: 'tokensGenerated';
			readonly attemptId: string;
			readonly tokens: number;
	  }
	| {
			readonly type: 'answerCompleted';
			readonly attemptId: string;
			readonly usage: Usage;
	  }
	| {
			readonly type: 'answerFailed';
			readonly attemptId: string;
			readonly fault: BackendFault;
	  }
	| {
			readonly type: 'quarantineLearned';
			readonly fingerprint: string;
			/** Milliseconds from now. */
			readonly forMs: number;
	  }
	/** A newer configuration has come into force. */
	| {readonly type: 'configAdvanced'}
	/** The platform's host list has changed the state of the agent's host. */
	| {readonly type: 'hostStateChanged'; readonly isLeaving: boolean}
	| {readonly type: 'shutdownRequested'}
	| {readonly type: 'tick'};

/** Commands that the daemon or a test driver executes for the agent core. */
export type AgentCommand =
	/** Send the request to the backend server under this served model name. */
	| {
			readonly type: 'runOnBackend';
			readonly attemptId: string;
			/** Absent for a plain service. */
			readonly servedName?: string;
			readonly priority: number;
	  }
	/** Stop the running request on the backend server. */
	| {readonly type: 'cancelOnBackend'; readonly attemptId: string}
	| {
			readonly type: 'loadAdapter';
			readonly loadId: string;
			readonly servedName: string;
			readonly weights: string;
			readonly timeoutMs: number;
	  }
	| {
			readonly type: 'unloadAdapter';
			readonly loadId: string;
			readonly servedName: string;
	  }
	/** Final for this attempt. If `changesAfter` is set, the daemon attaches the changes after that version. */
	| {
			readonly type: 'refuse';
			readonly attemptId: string;
			readonly refusal: Refusal;
			readonly changesAfter?: number;
			/** The refusal is for a repeated dispatch only. The attempt itself is not affected. */
			readonly isRepetition?: true;
	  }
	/** Check the backend server's health now rather than at the next interval. */
	| {readonly type: 'checkHealth'}
	/** Report fingerprints that ran on the backend server when it crashed. */
	| {
			readonly type: 'reportSuspects';
			readonly fingerprints: readonly string[];
			readonly bootId: string;
	  }
	/** The shutdown may complete: no request runs or waits any more. */
	| {readonly type: 'drained'};

/** Capacity limits of an agent and its backend server. */
export type AgentLimits = {
	/** Maximum number of adapter versions loaded on the backend server. */
	readonly adapterSlots: number;
	/** Maximum number of concurrent requests right after a start of the backend server. */
	readonly coldWindow: number;
	/** Maximum number of concurrent requests once the backend server is warm. */
	readonly maxWindow: number;
	/** Maximum number of requests waiting at the agent. */
	readonly maxQueued: number;
	readonly loadTimeoutMs: number;
};

/** Identity and limits of an agent, fixed at its start. */
export type AgentSettings = {
	readonly server: string;
	readonly zone: string;
	/** Differs for each start of the agent process. */
	readonly incarnation: string;
	readonly backend: BackendKind;
	readonly limits: AgentLimits;
};
