/** A model that a server holds, with the versions of its adapters by their names. */
export type HeldModel = {
	readonly name: string;
	readonly adapters: Readonly<Record<string, number>>;
};

/** An adapter that is on its way to a server. */
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
	readonly isDraining: boolean;
	/** Milliseconds for which the server stays cold, as of the writing of the record. */
	readonly coldLeftMs: number;
	readonly models: readonly HeldModel[];
};

/** A change of the platform's list. A record that is undefined was removed. */
export type ServerChange = {
	readonly id: string;
	readonly rowVersion: number;
	readonly record: ServerRecord | undefined;
};

/** What an engine says of itself. */
export type EngineReport = {
	/** Start of the engine, in milliseconds since the epoch. */
	readonly born: number;
	/** Orders that the engine has accepted since its start. */
	readonly sequence: number;
	readonly isBusy: boolean;
	readonly running: number;
	readonly waiting: number;
	readonly memoryUsed: number;
	readonly memoryTotal: number;
	readonly models: readonly HeldModel[];
	readonly pending: readonly PendingAdapter[];
	/** Prompt tokens that were let through to the engine and are not read yet, by its agent's count. */
	readonly promptDebt?: number;
};

/** What a request needs of a server. */
export type ServerNeed = {
	readonly service: string;
	/** Absent for a plain service. */
	readonly model: string | undefined;
	readonly adapter: string | undefined;
	/** Requests of one session find their prompt cached at the same server. */
	readonly session: string | undefined;
	/** Prompt and the most that may be generated, in tokens. */
	readonly tokens: number;
	readonly promptTokens: number;
	/** Time for which the prompt may wait for its turn at a server, in milliseconds. */
	readonly longestTurnMs: number;
	/** Servers that the request was sent to. */
	readonly tried: ReadonlySet<string>;
};

/** Where a request goes. */
export type ServerChoice =
	| {
			readonly kind: 'send';
			readonly server: string;
			/** Version of the adapter that the server must have, where an older one would be wrong. */
			readonly version: number | undefined;
	  }
	/** The adapter has to be loaded first. */
	| {readonly kind: 'awaitAdapter'}
	/** Each server that could run it has all that it bears. */
	| {readonly kind: 'full'}
	/** Each server that could run it is behind with its prompts, the best one by this time in milliseconds. */
	| {readonly kind: 'promptQueue'; readonly delayMs: number}
	| {readonly kind: 'noServer'};

/** An adapter that should stand on a server. */
export type AdapterWant = {
	readonly model: string;
	readonly adapter: string;
	/** Least version; 0 means the newest that there is. */
	readonly version: number;
	/** Requests that wait for it. */
	readonly waiting?: number;
};
