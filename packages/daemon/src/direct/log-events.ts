import type {EngineRule} from '@balsamtray/core';

/** All kinds of log lines with their fields. Times are in milliseconds. */
export type LogEvent =
	/** The process listens on its addresses. */
	| {
			readonly event: 'started';
			readonly role: string;
			readonly isFirstStart: boolean;
	  }
	/** The process received a stop signal. */
	| {readonly event: 'stopping'; readonly running: number}
	/** The process exits; `cut` requests were ended before they were complete, each with a `request` line of its own. */
	| {
			readonly event: 'stopped';
			readonly cut: number;
			readonly afterMs: number;
			/** `drained` if nothing was left to do, `graceOver` if the grace time ended before; entries only. */
			readonly reason?: 'drained' | 'graceOver';
	  }
	/** The settings were reloaded. */
	| {readonly event: 'settingsReloaded'; readonly error?: string}
	/** A dependency stopped responding: a store table, an entry, an agent or the engine. */
	| {
			readonly event: 'dependencyLost';
			readonly dependency: string;
			readonly error: string;
	  }
	/** A lost dependency responds again. */
	| {
			readonly event: 'dependencyRegained';
			readonly dependency: string;
			readonly lostForMs: number;
	  }
	/** A configuration took effect. */
	| {
			readonly event: 'configInForce';
			readonly version: number;
			readonly source: string;
	  }
	/** Authority statements other than the configuration changed. */
	| {
			readonly event: 'authorityChanged';
			/** Era of the store to which the row version belongs. */
			readonly era: number;
			readonly rowVersion: number;
			readonly source: string;
	  }
	/**
	 * An adapter version was declared. `provenMsAgo` is the age of the last proof that it was not declared yet; absent
	 * without one.
	 */
	| {
			readonly event: 'versionDeclared';
			readonly adapter: string;
			readonly version: number;
			readonly provenMsAgo?: number;
			readonly source: string;
	  }
	/**
	 * A part of prompts was quarantined, as servers ended under it. `ends` are the starts of these servers; `source` is
	 * `calls`, or the entry or table that told it.
	 */
	| {
			readonly event: 'partQuarantined';
			readonly part: string;
			readonly ends: readonly string[];
			readonly source: string;
	  }
	/** A part of prompts left the quarantine: an answer went on (`answer`), an operator lifted it (`operator`), an entry said so, or time passed (`calls`). */
	| {
			readonly event: 'partCleared';
			readonly part: string;
			readonly source: string;
	  }
	/** One request with a quarantined part is sent, to learn whether it still ends servers. */
	| {
			readonly event: 'partTrial';
			readonly part: string;
			readonly request?: string;
	  }
	/** An answer with these parts was interrupted before it went on. */
	| {
			readonly event: 'partsSuspected';
			readonly parts: readonly string[];
			readonly server: string;
			readonly start: string;
			/** `broke`, `silent`, `left` or `restarted`. */
			readonly evidence: string;
	  }
	/** The server went dark under a request that was given up, and another start has its place. The request is named by a digest. */
	| {
			readonly event: 'requestSuspected';
			readonly fingerprint: string;
			readonly server: string;
	  }
	/** The store came back from a copy, which may have lost its last writes; `source` is the table or entry that told it. */
	| {readonly event: 'storeEra'; readonly era: number; readonly source: string}
	/** This entry began to read the store for its zone, or follows another entry (`reader`) that does. */
	| {
			readonly event: 'readerChanged';
			readonly isReader: boolean;
			readonly reader: string;
	  }
	/** The readiness reported to the load balancer changed. */
	| {
			readonly event: 'readiness';
			readonly isReady: boolean;
			readonly reason: string;
	  }
	/**
	 * This entry holds the lease of a duty: it has `taken` it, or has `regained` its right to act under the same token.
	 * `previous` is the holder before, `withoutHolderMs` the time for which nobody could act, as far as this entry saw.
	 */
	| {
			readonly event: 'dutyHeld';
			readonly duty: string;
			readonly token: number;
			readonly change: 'taken' | 'regained';
			readonly previous?: string;
			readonly withoutHolderMs?: number;
	  }
	/**
	 * This entry may no longer act for a duty: the store did not answer (`expired`, with its last `error`), the process was
	 * `suspended`, the store came back from a copy (`storeEra`), another entry has the lease (`takenAway`), or this one `released`
	 * it as it stops, or gave it back as the platform did not answer (`cutOff`).
	 */
	| {
			readonly event: 'dutyLost';
			readonly duty: string;
			readonly token: number;
			readonly reason: string;
			readonly error?: string;
	  }
	/** The host may have been suspended, so the monotonic clock may have stopped. */
	| {readonly event: 'suspended'; readonly epoch: number}
	/** A server joined, changed state or left. In state `leaving`, only its responses to this entry or another one have said that it leaves. */
	| {
			readonly event: 'serverChanged';
			readonly server: string;
			readonly state: string;
			/** Version of the server's software. Absent if the server does not say. */
			readonly softwareVersion?: string;
			/** Time for which the server still wants no requests from this host. Absent if it takes them. */
			readonly suspendedForMs?: number;
	  }
	/** A server turned a request away and wants none from this host for a time; an invalid time (`value`) is ignored. */
	| {
			readonly event: 'serverSuspended';
			readonly server: string;
			readonly forMs?: number;
			readonly value?: string;
	  }
	/** A server named a limit, in requests a second from all entries together, or names none any more (without `perSecond`). */
	| {
			readonly event: 'serverLimit';
			readonly server: string;
			readonly perSecond?: number;
	  }
	/**
	 * This entry's retries of requests to a service are used up, or one was allowed again. `requests` and `retries` are this
	 * entry's own in the window, `entries` the number among which it divides the fixed part of the limit (absent before it has read the
	 * members table).
	 */
	| {
			readonly event: 'retryAllowance';
			readonly service: string;
			readonly isUsedUp: boolean;
			readonly requests: number;
			readonly retries: number;
			readonly entries?: number;
	  }
	/** The connection to a server was closed, since a part of what it sent was longer than any response has. */
	| {
			readonly event: 'endlessResponse';
			readonly server: string;
			readonly error: string;
	  }
	/**
	 * Callers' connections were closed without a complete request in the last second: the memory (`memoryUsedUp`) or the
	 * connections for callers (`connectionsUsedUp`) were used up, or what they sent was `headTooLarge`, `bodyTooLarge`,
	 * `tooSlow` or `malformed`.
	 */
	| {
			readonly event: 'connectionsClosed';
			readonly reason: string;
			readonly connections: number;
	  }
	/** A store row is invalid and was ignored. */
	| {
			readonly event: 'rowIgnored';
			readonly table: string;
			readonly key: string;
			readonly reason: string;
	  }
	/** The agent sent an order to the engine. */
	| {
			readonly event: 'order';
			readonly operation: string;
			readonly target: string;
			readonly expectedSequence: number;
			readonly outcome: string;
	  }
	/** The local engine restarted; `born` is its start time since the Unix epoch. */
	| {readonly event: 'engineRestarted'; readonly born: number}
	/** Lines were dropped because the buffer was full or the rate limit was reached. */
	| {
			readonly event: 'linesDropped';
			readonly kind: string;
			readonly lines: number;
	  }
	/**
	 * The holder of the usage duty has ended with a window. `outcome`: `reported`; `late`, acknowledged after it was due;
	 * `noContributions`, nobody told counts; `decisionMayBeLost`, the store went back, and the window may have been reported;
	 * `decisionsDiffer`, the store has another decision than this entry knows; `tooOld`, given up.
	 */
	| {
			readonly event: 'usageWindow';
			readonly window: number;
			readonly outcome: string;
			readonly counts?: Readonly<Record<string, number>>;
			/** Processes that contributed, and known entries that had not told all. Absent if another entry decided. */
			readonly processes?: number;
			readonly missing?: number;
			/** Time since the contribution that is the oldest came. */
			readonly oldestAgeMs?: number;
			/** Calls to the platform by this entry. */
			readonly attempts: number;
			/** Time from the end of the window. */
			readonly afterMs: number;
	  }
	/**
	 * The clocks that true time is estimated from have become enough, or too few (`isKnown` false), so that the own clock
	 * counts. `ownOffMs` is by how much the own clock is ahead.
	 */
	| {
			readonly event: 'usageClock';
			readonly isKnown: boolean;
			readonly sources: number;
			readonly ownOffMs: number;
			readonly errorMs?: number;
	  }
	/** An error outside a request. */
	| {readonly event: 'error'; readonly step: string; readonly error: string}
	/** A request ended. */
	| RequestEvent;

/** Result of one request. */
export type RequestEvent = {
	readonly event: 'request';
	readonly id: string;
	readonly route?: string;
	readonly customer?: string;
	readonly adapter?: string;
	readonly status: number;
	/** Why the response was not complete. Absent if it was. */
	readonly reason?: string;
	readonly notRun?: boolean;
	/** The quarantined part of its prompt for which it was refused. */
	readonly quarantinedPart?: string;
	/**
	 * Attempts in order: each server with the outcome of the attempt. Says so if only the connection delimited the
	 * response, and how many bytes into an event it ended.
	 */
	readonly sends: readonly string[];
	/** Time from arrival to the last dispatch. */
	readonly waitedMs?: number;
	/** Cause of the last wait. */
	readonly waitedFor?: string;
	/** Time of all waits by their cause, of requests that were refused as well. */
	readonly waits?: Readonly<Record<string, number>>;
	/**
	 * How the last wait for its prompt's turn at an engine ended (`granted`; `delayed` by an agent that only says delays;
	 * `unanswered`, sent without a turn; `tooLate`, it can't come in time; `moved`, another engine begins sooner), and the
	 * agent's first estimate of the wait.
	 */
	readonly turn?: string;
	readonly turnEstimateMs?: number;
	/**
	 * How the last engine was chosen: by the expected time to the first event and the learned lengths of outputs
	 * (`learnedWork`), by the expected time alone (`expectedTime`), since too few streams of the route were seen, or by its
	 * number of requests (`runningCount`), since some engine did not report how long work takes on its host. Absent for
	 * plain services.
	 */
	readonly chosenBy?: EngineRule;
	/** Version of the adapter that the last server was known to hold, and the newest declared one, at the last dispatch. */
	readonly adapterVersion?: number;
	readonly declaredVersion?: number;
	readonly firstByteMs?: number;
	/** Longest time between two chunks of the response body. */
	readonly longestPauseMs?: number;
	readonly totalMs: number;
	/** Number of events of the stream that the entry passed on, and the number that was expected of such a request. */
	readonly events?: number;
	readonly expectedEvents?: number;
	readonly configVersion?: number;
	/** Age of the proof that the configuration is current. */
	readonly proofAgeMs?: number;
	readonly retryAfterMs?: number;
	/** The entry that refused the customer's units (`none` if no owner replied), and the units that were left. */
	readonly rateOwner?: string;
	readonly rateLevel?: number;
	/** Software versions of the servers that wrote events of the stream, in order; empty text if one does not say. */
	readonly softwareVersions?: readonly string[];
	/** The call whose stream the caller resumed, and the last event that it had. */
	readonly resumes?: string;
	readonly resumedAfter?: string;
	/**
	 * How the entry knew the software version that began the resumed stream: by an entry's record, because the service has
	 * had only that version, because its servers say none (`unversioned`), or not at all (`unknown`).
	 */
	readonly originBy?: string;
	readonly originVersion?: string;
};
