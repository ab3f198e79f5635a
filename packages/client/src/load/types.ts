/** Parameters of a load run. */
export type LoadPlan = {
	/** URLs of entries' caller APIs, used round-robin. */
	readonly targets: readonly string[];
	/** The caller's key. Empty: requests carry no key. */
	readonly key: string;
	/** Requests per second, independent of the responses. */
	readonly ratePerSecond: number;
	readonly durationMs: number;
	readonly workload: Workload;
	readonly timeoutMs: number;
	/** Maximum number of connections over all targets. */
	readonly connections: number;
	readonly seed: number;
};

/** The requests that a load run sends. */
export type Workload =
	| {
			readonly kind: 'chat';
			/** Adapters or model routes. Each request picks one at random. */
			readonly models: readonly string[];
			readonly prompt: string;
			readonly maxTokens: number;
	  }
	| {
			readonly kind: 'service';
			/** Name of the route, optionally followed by a path at the service. */
			readonly route: string;
			readonly body: string;
	  };

/** Outcome of one request. */
export type LoadOutcome = {
	/** `ok`, `answer_cut` for a truncated response, the error code or `status_…` of a refusal, `timeout` or `connection_failed`. */
	readonly reason: string;
	readonly isOk: boolean;
	/** Whether the response said that the request was not run (`not_run`). */
	readonly isNotRun: boolean;
	/** Time from the due time to the first byte of the response, in milliseconds. */
	readonly firstByteMs?: number;
	/** Time from the due time to the end of the request, in milliseconds. */
	readonly totalMs: number;
};

/** Latency percentiles in milliseconds. */
export type LatencySummary = {
	readonly count: number;
	readonly p50: number;
	readonly p90: number;
	readonly p95: number;
	readonly p99: number;
	readonly max: number;
};

/** Outcomes of the requests that were due in one second of the run. */
export type LoadSecond = {
	/** Index of the second, from 0. */
	readonly second: number;
	readonly due: number;
	readonly ok: number;
	/** Requests whose response said that they were not run. */
	readonly refused: number;
	/** All other requests without a complete response. */
	readonly failed: number;
	/** Time to the first byte of complete responses, in milliseconds. */
	readonly firstByteP50: number;
	readonly firstByteP99: number;
};

/** Result of a load run. */
export type LoadReport = {
	readonly ratePerSecond: number;
	readonly durationMs: number;
	readonly seed: number;
	readonly sent: number;
	/** Number of requests by the `reason` of their outcome. */
	readonly reasons: Readonly<Record<string, number>>;
	readonly firstByte: LatencySummary;
	readonly total: LatencySummary;
	readonly seconds: readonly LoadSecond[];
};
