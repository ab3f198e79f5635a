import type {OutputProgress} from '../work/output-progress.js';

/** A base model on a server, with the versions of its adapters by name. */
export type HeldModel = {
	readonly name: string;
	readonly adapters: Readonly<Record<string, number>>;
};

/** An adapter that a server is loading. */
export type PendingAdapter = {
	readonly model: string;
	readonly adapter: string;
	readonly version: number;
};

/** A backend server as the platform lists it. */
export type ServerRecord = {
	readonly id: string;
	readonly service: string;
	/** `IP:PORT`. */
	readonly address: string;
	readonly zone: string;
	readonly slots: number;
	/** Version of the server's software; absent if it does not say. Unrelated to the versions of adapters. */
	readonly softwareVersion?: string;
	readonly isDraining: boolean;
	/** Time until a draining server is gone, whatever it runs, when the record is written, in milliseconds; absent if unknown. */
	readonly remainingMs?: number;
	/** Remaining time for which the server is cold when the record is written, in milliseconds. */
	readonly coldLeftMs: number;
	readonly models: readonly HeldModel[];
	/** Start time of the server, in milliseconds since the epoch; absent if it does not say. */
	readonly born?: number;
};

/** A change of the platform's list. The record is undefined if the server was removed. */
export type ServerChange = {
	readonly id: string;
	readonly rowVersion: number;
	/** Era of the store in which the row was read. 0 if absent. */
	readonly era?: number;
	readonly record: ServerRecord | undefined;
};

/** An engine's report of its own state. */
export type EngineReport = {
	/** Start time of the engine, in milliseconds since the epoch. */
	readonly born: number;
	/** Number of orders that the engine accepted since its start. */
	readonly sequence: number;
	readonly isBusy: boolean;
	readonly running: number;
	readonly waiting: number;
	readonly memoryUsed: number;
	readonly memoryTotal: number;
	readonly models: readonly HeldModel[];
	readonly pending: readonly PendingAdapter[];
	/** Prompt tokens that the agent admitted and the engine has not prefilled yet, by the agent's estimate. */
	readonly promptDebt?: number;
	/** The agent's estimate of the engine's prefill rate, in tokens per millisecond. */
	readonly prefillTokensPerMs?: number;
	/** Adapters that no engine holds and that entries want here, of which no load has begun, as the agent knows. */
	readonly firstLoads?: number;
	/** Whether the engine says in its responses that it is leaving. */
	readonly isLeaving?: boolean;
	/** How long work takes on the engine's host at that moment, against its usual time; absent if it does not say. */
	readonly slowdown?: number;
};

/** Least and greatest slowdown that an engine reported within a time. */
export type SlowdownSpan = {
	readonly least: number;
	readonly greatest: number;
};

/** Time to the first event of one request at an engine, as an entry saw it. */
export type PrefillSample = {
	readonly tokens: number;
	/** Prompt tokens that the engine had to prefill before, by the agent's estimate. */
	readonly tokensAhead: number;
	/** Time from the send to the first part of the response, in milliseconds. */
	readonly firstEventMs: number;
};

/** What a server says of its load in a response. It is as of the response, and its age counts: it changes within a second. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes on the server's host at that moment, against its usual time; absent if it does not say. */
	readonly slowdown?: number;
};

/** Requirements of a request on the server that runs it. */
export type ServerNeed = {
	readonly service: string;
	/** Base model; undefined for a plain service. */
	readonly model: string | undefined;
	readonly adapter: string | undefined;
	/** Session key. Requests of one session share a prompt cache if they run on the same server. */
	readonly session: string | undefined;
	/** Prompt tokens plus the maximum of generated tokens. */
	readonly tokens: number;
	readonly promptTokens: number;
	/** Maximum time for which the prompt may wait at a server before it is sent, in milliseconds. */
	readonly maxPromptWaitMs: number;
	/** What is expected of the output; absent for plain services. */
	readonly output?: OutputProgress;
	/** Time until the request's deadline, in milliseconds; absent if it is served however late. */
	readonly remainingMs?: number;
	/** Servers to which the request was already sent. */
	readonly tried: ReadonlySet<string>;
	/** Engine at which the prompt waits for its turn already, so that it does not count as further demand. */
	readonly waitsAt?: string;
	/** Software version that the server must have, empty for servers that don't say; absent if any will do. */
	readonly softwareVersion?: string;
};

/** Rule by which an engine is chosen. */
export type EngineRule = 'learnedWork' | 'expectedTime' | 'runningCount';

/** Result of choosing a server for a request. */
export type ServerChoice =
	| {
			readonly kind: 'send';
			readonly server: string;
			/**
			 * How the engine was chosen: by expected time and learned outputs, by expected time, or without the figures for that.
			 * Absent for plain services.
			 */
			readonly rule?: EngineRule;
	  }
	/** No usable server holds the adapter; it has to be loaded first. */
	| {readonly kind: 'awaitAdapter'}
	/** Every server that could run the request is at its limit. */
	| {readonly kind: 'full'}
	/** The prompt would wait too long on every eligible server. The least wait is `delayMs`, in milliseconds. */
	| {readonly kind: 'promptQueue'; readonly delayMs: number}
	/** Every usable server turned requests away for a time. The first one takes them again in `delayMs` milliseconds. */
	| {readonly kind: 'serversSuspended'; readonly delayMs: number}
	/** Every usable server has used up the limit that it names. It is worth asking again in `delayMs` milliseconds. */
	| {readonly kind: 'serversLimited'; readonly delayMs: number}
	/**
	 * All places of a plain service are taken, and no server is expected to answer before the deadline. It is worth coming
	 * back in `delayMs` milliseconds.
	 */
	| {readonly kind: 'tooLate'; readonly delayMs: number}
	/** No server that may run the request is usable. */
	| {readonly kind: 'noServer'};

/** Version of its adapter that a request has to expect at a server. */
export type VersionToExpect =
	| {readonly kind: 'any'}
	| {readonly kind: 'exactly'; readonly version: number}
	/** The server's version is too old, or it does not hold the adapter. */
	| {readonly kind: 'outdated'};

/** An adapter that an entry wants loaded on a server. */
export type AdapterWant = {
	readonly model: string;
	readonly adapter: string;
	/** Minimum version; 0 means the newest. */
	readonly version: number;
	/** Number of waiting requests. */
	readonly waiting?: number;
	/** Whether another engine holds the adapter already, so that the load can wait for those of which none does. */
	readonly isReplica?: true;
};
