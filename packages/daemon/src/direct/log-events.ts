/** Each kind of log line, with what it holds. Times are milliseconds. */
export type LogEvent =
	/** The process serves its addresses. */
	| {
			readonly event: 'started';
			readonly role: string;
			readonly isFirstStart: boolean;
	  }
	/** A signal to stop came. */
	| {readonly event: 'stopping'; readonly running: number}
	/** The process ends; so many requests are cut by it. */
	| {readonly event: 'stopped'; readonly cut: number; readonly afterMs: number}
	/** The settings were read again. */
	| {readonly event: 'settingsReloaded'; readonly error?: string}
	/** A dependency stopped answering: a table of the store, an entry, an agent. */
	| {
			readonly event: 'dependencyLost';
			readonly dependency: string;
			readonly error: string;
	  }
	/** It answers again. */
	| {
			readonly event: 'dependencyRegained';
			readonly dependency: string;
			readonly lostForMs: number;
	  }
	/** A configuration came into force. */
	| {
			readonly event: 'configInForce';
			readonly version: number;
			readonly source: string;
	  }
	/** Other statements of the authority changed. */
	| {
			readonly event: 'authorityChanged';
			readonly rowVersion: number;
			readonly source: string;
	  }
	/** The balancer is told another answer. */
	| {
			readonly event: 'readiness';
			readonly isReady: boolean;
			readonly reason: string;
	  }
	/** The steady clock may have stood still. */
	| {readonly event: 'suspended'; readonly epoch: number}
	/** A server came, changed its state or left. */
	| {
			readonly event: 'serverChanged';
			readonly server: string;
			readonly state: string;
	  }
	/** A row of the store names nothing that can be used. */
	| {
			readonly event: 'rowIgnored';
			readonly table: string;
			readonly key: string;
			readonly reason: string;
	  }
	/** An order to the engine, and what became of it. */
	| {
			readonly event: 'order';
			readonly operation: string;
			readonly target: string;
			readonly expectedSequence: number;
			readonly outcome: string;
	  }
	/** The engine beside the agent started anew, at this time since the epoch. */
	| {readonly event: 'engineRestarted'; readonly born: number}
	/** Lines that were not written for want of room or budget. */
	| {
			readonly event: 'linesDropped';
			readonly kind: string;
			readonly lines: number;
	  }
	/** An error that is not one of a request. */
	| {readonly event: 'error'; readonly step: string; readonly error: string}
	/** A request ended. */
	| RequestEvent;

/** How one request ended. */
export type RequestEvent = {
	readonly event: 'request';
	readonly id: string;
	readonly route?: string;
	readonly customer?: string;
	readonly adapter?: string;
	readonly status: number;
	/** Why there was no whole answer. Absent where there was one. */
	readonly reason?: string;
	readonly notRun?: boolean;
	/** Servers that the request was sent to, in order, with what became of each. */
	readonly sends: readonly string[];
	/** Time until the last send. */
	readonly waitedMs?: number;
	/** What the request waited for. */
	readonly waitedFor?: string;
	readonly firstByteMs?: number;
	/** Longest time between two parts of the answer. */
	readonly longestPauseMs?: number;
	readonly totalMs: number;
	readonly configVersion?: number;
	/** Age of the proof that the configuration is the newest. */
	readonly proofAgeMs?: number;
	readonly retryAfterMs?: number;
	/** The entry that refused the customer's rate, `none` where it could not be asked, and the units that were left. */
	readonly rateOwner?: string;
	readonly rateLevel?: number;
};
