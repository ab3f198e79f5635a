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

/** One attempt to run a request, as an entry sends it to an agent. It never holds the caller's key. */
export type Dispatch = {
	/** Unique over all hosts; an agent runs it at most once in its lifetime. */
	readonly attemptId: string;
	readonly requestId: string;
	readonly entryId: string;
	/** Version of the configuration with which the entry decided. */
	readonly configVersion: number;
	readonly customer: string;
	readonly weight: number;
	/** Identifier of the key, never its secret. Absent on open routes. */
	readonly keyId?: string;
	readonly route?: string;
	readonly target: DispatchTarget;
	readonly isRepeatable: boolean;
	/** Tokens of the prompt, estimated. */
	readonly promptTokens: number;
	/** Most tokens that the answer may have. */
	readonly maxTokens: number;
	/** Milliseconds left until the caller's deadline when the dispatch was sent. */
	readonly timeLeftMs: number;
	/** Digest of what the request asks, to recognise one that crashes backend servers. */
	readonly fingerprint: string;
	/** W3C trace context. */
	readonly traceparent?: string;
};

/** Whether an adapter version can run at once on a backend server. */
export type AdapterState = 'resident' | 'loading' | 'absent';

/** What an agent says of itself with each answer and probe. */
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
	/** Requests that the backend server bears at once at present. */
	readonly window: number;
	/** Estimated wait of a new request whose adapter is resident, behind all that waits, in milliseconds. */
	readonly expectedWaitMs: number;
	/** The same for a customer that has nothing waiting at the agent. */
	readonly lightWaitMs?: number;
	/** The same for customers that have work waiting, by name. Holds those with the longest waits. */
	readonly customerWaitsMs?: Readonly<Record<string, number>>;
	/** State of the adapter version that the dispatch or probe named. */
	readonly adapterState: AdapterState;
};

/** Tokens that an answer used. */
export type Usage = {
	readonly promptTokens: number;
	readonly completionTokens: number;
};

/** What the backend server's health endpoint said. */
export type BackendHealth = {
	/** Differs for each start of the backend server. */
	readonly bootId: string;
	readonly uptimeMs: number;
	/** Served names of the adapter versions that are loaded. */
	readonly loadedAdapters: readonly string[];
};

/** Why the stream from a backend server ended early. */
export type BackendFault =
	/** Surely not delivered: the connection was refused. */
	| 'unreachable'
	/** The connection broke after the request may have been delivered. */
	| 'connection_lost'
	/** The backend server answered with an error before it ran the request. */
	| 'rejected'
	/** The backend server answered with an error while it ran the request. */
	| 'failed'
	/** The answer belongs to another request, adapter or version. */
	| 'mismatch';

/** Input of the agent's decisions. */
export type AgentEvent =
	| {readonly type: 'dispatchArrived'; readonly dispatch: Dispatch}
	| {readonly type: 'dispatchCancelled'; readonly attemptId: string}
	| {
			readonly type: 'backendHealthy';
			readonly health: BackendHealth;
			/** Time at which the question was sent. What happened since may be missing from the answer. */
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
	/** A newer configuration is in force. */
	| {readonly type: 'configAdvanced'}
	/** What the platform's list of hosts says of the own host. */
	| {readonly type: 'hostStateChanged'; readonly isLeaving: boolean}
	| {readonly type: 'shutdownRequested'}
	| {readonly type: 'tick'};

/** Output of the agent's decisions, to be carried out by the daemon or a test driver. */
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
	/** Final for this attempt. `missingChanges` asks the daemon to attach the changes after the entry's version. */
	| {
			readonly type: 'refuse';
			readonly attemptId: string;
			readonly refusal: Refusal;
			readonly changesAfter?: number;
			/** The refusal is for a repetition of an attempt, not for the attempt itself, which goes on. */
			readonly isRepetition?: true;
	  }
	/** Ask the backend server's health endpoint now and not only at the next interval. */
	| {readonly type: 'checkHealth'}
	/** The fingerprints ran on a backend server when it died. */
	| {
			readonly type: 'reportSuspects';
			readonly fingerprints: readonly string[];
			readonly bootId: string;
	  }
	/** Nothing runs or waits any more after a shutdown was requested. */
	| {readonly type: 'drained'};

/** What an agent and its backend server bear. */
export type AgentLimits = {
	/** Adapter versions that the backend server holds at once. */
	readonly adapterSlots: number;
	/** Requests that the backend server bears at once right after a start. */
	readonly coldWindow: number;
	/** Requests that the backend server bears at once when it is warm. */
	readonly maxWindow: number;
	/** Requests that wait at the agent at most. */
	readonly maxQueued: number;
	readonly loadTimeoutMs: number;
};

/** What an agent is told of itself when it starts. */
export type AgentSettings = {
	readonly server: string;
	readonly zone: string;
	/** Differs for each start of the agent process. */
	readonly incarnation: string;
	readonly backend: BackendKind;
	readonly limits: AgentLimits;
};
