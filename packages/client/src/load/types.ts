/** What a load run asks for. */
export type LoadPlan = {
	/** URLs of callers' ports. The requests go to them in turn. */
	readonly targets: readonly string[];
	readonly key: string;
	/** Requests a second, whatever the answers do. */
	readonly ratePerSecond: number;
	readonly durationMs: number;
	readonly work: LoadWork;
	readonly timeoutMs: number;
	readonly connections: number;
	readonly seed: number;
};

/** What each request asks for. */
export type LoadWork =
	| {
			readonly kind: 'chat';
			/** Adapters or model routes, taken at random. */
			readonly models: readonly string[];
			readonly prompt: string;
			readonly maxTokens: number;
	  }
	| {
			readonly kind: 'service';
			/** Name of the route, and the path at the service if there is one. */
			readonly route: string;
			readonly body: string;
	  };

/** How one request ended. */
export type LoadOutcome = {
	/** `ok`, the code of the refusal, or what went wrong with the connection. */
	readonly reason: string;
	readonly isOk: boolean;
	/** Whether the answer said that the request was not run. */
	readonly isNotRun: boolean;
	/** From the time at which the request was due until its first byte, in milliseconds. */
	readonly firstByteMs?: number;
	/** From the time at which the request was due until its end, in milliseconds. */
	readonly totalMs: number;
};

/** Latencies in milliseconds. */
export type LatencySummary = {
	readonly count: number;
	readonly p50: number;
	readonly p90: number;
	readonly p95: number;
	readonly p99: number;
	readonly max: number;
};

/** What happened to the requests that were due in one second. */
export type LoadSecond = {
	readonly second: number;
	readonly due: number;
	readonly ok: number;
	readonly refused: number;
	readonly failed: number;
	/** Time until the first byte of whole answers. */
	readonly firstByteP50: number;
	readonly firstByteP99: number;
};

/** The outcome of a load run. */
export type LoadReport = {
	readonly ratePerSecond: number;
	readonly durationMs: number;
	readonly seed: number;
	readonly sent: number;
	readonly reasons: Readonly<Record<string, number>>;
	readonly firstByte: LatencySummary;
	readonly total: LatencySummary;
	readonly seconds: readonly LoadSecond[];
};
