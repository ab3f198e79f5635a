/** Interval of heartbeats to the linked entries, in milliseconds. */
export const heartbeatIntervalMs = 200;

/**
 * Maximum offset of the times in an entry's heartbeats, in milliseconds. An offset of another process of the host falls
 * within the first minute of this one with a probability of 6e-8, and still fits a number with tenths.
 */
export const maxClockOffsetMs = 1e12;

/** Heartbeat intervals between two heartbeats to a lost entry that this one would be linked with. */
export const lostLinkIntervals = 5;

/** Time after which a lost entry that gets no heartbeats is no longer considered lost, in milliseconds. */
export const forgetLossMs = 5000;

/** Time for which quota queries go to the next candidate after an owner did not reply, in milliseconds. */
export const unresponsiveOwnerMs = 2000;

/** Maximum number of crash reports whose identifiers are kept, to pass each on only once. */
export const maxSeenReports = 1024;

/** Age of the server list from which it is fetched from any entry that has a newer one, in milliseconds. */
export const staleServersAgeMs = 1000;

/** Age of the members table from which it is fetched from any entry that has a newer one, in milliseconds. */
export const staleMembersAgeMs = 15_000;

/**
 * Time from its start in which an entry that has not read the members table says that it is not ready, in milliseconds: two
 * timeouts of the store. After it, the entry serves what needs no knowledge of the other entries.
 */
export const membersGraceMs = 2000;

/** Maximum time between two checks whether this entry has to read a table itself, in milliseconds. */
export const readDutyCheckMs = 250;

/** Maximum time between two checks whether requests on an outdated adapter version have to be taken back, in milliseconds. */
export const recallCheckMs = 250;

/** Pause after a failed read by an entry that does not read for its zone, in milliseconds. The reader tries more often. */
export const relayedReadRetryMs = 2000;

/** Time without a report after which an entry asks the agent itself, since its zone's relay may be lost, in milliseconds. */
export const relayTimeoutMs = 450;

/** Time without a heartbeat after which an entry is lost, in milliseconds: three intervals and the network delay. */
export const peerTimeoutMs = 700;

/**
 * Time until a quota query is given up, in milliseconds. It is long against the latency between zones, since an owner on
 * a busy host replies late.
 */
export const quotaTimeoutMs = 300;

/** Times after which a quota query without a reply is also sent to the next candidate, in milliseconds. */
export const quotaRetryMs = [60, 140] as const;

/** Time for which an owner recognizes a query that it has replied to, in milliseconds. */
export const quotaReplyLifetimeMs = 1000;

/** Number of other entries to which the origin of a stream is sent. */
export const streamCopies = 3;

/** Maximum number of origins in one datagram, so that it fits into one packet. */
export const maxStreamsPerNote = 8;

/** Time until a query for the origin of a stream is given up, in milliseconds. */
export const streamQueryTimeoutMs = 300;

/** Times after which the entries that have not replied are asked again, in milliseconds. */
export const streamQueryRetryMs = [60, 140] as const;

/** `retry-after` of a stream whose origin no entry told, in milliseconds: the entries that know it may be back then. */
export const unknownStreamRetryAfterMs = 300;

/** Prefill delay below which a request is sent without a timer, in milliseconds. */
export const minPrefillDelayMs = 1;

/** Timeout of a prefill query to an agent, in milliseconds: many times the latency between zones. */
export const prefillTimeoutMs = 30;

/** Number of asks without a reply from which an entry no longer waits for a grant: one may be lost. */
export const maxSilentTurnAsks = 2;

/** Longest time until an agent looks again which prompts may be sent, in milliseconds, as the engine's pace changes. */
export const maxTurnCheckMs = 25;

/** Interval of demands to an agent, in milliseconds. */
export const demandIntervalMs = 250;

/** Interval of demands to an agent whose server has no wanted adapter and no running request, in milliseconds. */
export const idleDemandIntervalMs = 1000;

/**
 * Bounds of the long-poll wait for authority statements, in milliseconds. The lifetime of freshness proofs sets the
 * wait. The minimum prevents back-to-back calls; the maximum lets an entry notice a restarted store in time.
 */
export const authorityWaitMs = {min: 100, max: 1200} as const;

/** Minimum time between reads of the server list, in milliseconds. A leaving server must be noticed within 2 s. */
export const serversIntervalMs = 800;

/** Range over which the entries spread the writes of their own rows in a new era of the store, in milliseconds. */
export const maxRewriteDelayMs = 1000;

/** Long-poll wait for a change of the members table, in milliseconds. */
export const membersWaitMs = 10_000;

/** Minimum time between reads of the members table, in milliseconds. */
export const membersIntervalMs = 1000;

/** Interval at which an entry checks that it runs, in milliseconds. */
export const stallCheckIntervalMs = 200;

/** Timeout of a store call, in milliseconds, in addition to its long-poll wait. */
export const storeTimeoutMs = 1000;

/**
 * Maximum size of a table, or of a page of one, as read from the store or another entry, in bytes. A list of 10,000
 * servers, the largest table that is planned for, has 3 MB at 300 bytes each.
 */
export const maxTableBytes = 32 * 1024 * 1024;

/** Initial and maximum backoff after a failed store call, in milliseconds. */
export const storeBackoffMs = {initial: 150, max: 800} as const;

/** Timeout for opening a connection to a server, in milliseconds. */
export const connectTimeoutMs = 1000;

/** Keep-alive time of an idle connection to a server, in milliseconds, if the server does not state one. */
export const keepAliveMs = 10_000;

/** Maximum bytes of a refusal's body that are read to keep its connection. A usual one has some hundred bytes. */
export const maxDiscardedBytes = 64 * 1024;

/** Time for a refusal's body, in milliseconds: many times a round trip between zones. A usual one comes with its head. */
export const discardTimeoutMs = 1000;

/** Delay from a report or a change of the servers until the requests are tried that it may help, in milliseconds. */
export const wakeIntervalMs = 10;

/** Share of a request's time limit that it may wait for a server or an adapter before it is refused. */
export const maxWaitShare = 0.3;

/** Share of a request's time limit within which prefill on the assigned server must start. */
export const maxPrefillWaitShare = 0.5;

/** Bytes that wait on the connection to a server whose response is paused: what Node.js reads at once. */
export const unreadConnectionBytes = 64 * 1024;

/** Maximum connections of load balancers, operators and tools to one address of a process. */
export const maxToolConnections = 64;

/** Maximum connections of other entries to an entry. Each has some connections to the entries that it is linked with. */
export const maxPeerConnections = 512;

/** Default `retry-after` of a refusal, in milliseconds. */
export const defaultRetryAfterMs = 500;

/** `retry-after` of a refusal by a stopping entry, in milliseconds: another entry can serve the caller at once. */
export const otherEntryRetryAfterMs = 50;

/** Part of the shutdown grace time that is left when the process exits by itself, in milliseconds. */
export const graceMarginMs = 500;

/** Report interval of an engine that serves requests and loads no adapter, in milliseconds. */
export const reportIntervalMs = 200;

/**
 * Interval at which the report of a busy engine is read that was slow within the last seconds, in milliseconds: a fraction of
 * a slow period. It is not published more often.
 */
export const slowReportIntervalMs = 50;

/** Report interval of an idle engine, in milliseconds. Entries prefer other servers after 700 ms without a report. */
export const idleReportIntervalMs = 300;

/** Report interval of an engine that loads adapters, in milliseconds. */
export const loadingReportIntervalMs = 25;

/** Interval at which the report of an engine without subscribed entries is read, in milliseconds. */
export const unsubscribedReportIntervalMs = 2000;

/** Time for which an entry gets reports after its last demand, in milliseconds. */
export const demandLifetimeMs = 3000;

/** Interval at which an entry looks for servers that ended without breaking their connections, in milliseconds. */
export const exposureCheckMs = 200;

/** Number of given-up requests that are kept in case a server turns out to have ended under them. */
export const maxLeftExposures = 256;

/** Time for which such a request is kept, in milliseconds: a server that ended is back after some seconds. */
export const leftExposureLifetimeMs = 8000;

/** Maximum number of parts in one datagram, so that it fits into one packet. */
export const maxPartsPerNote = 8;

/** Minimum time between two fetches of other entries' evidence on parts, in milliseconds. */
export const suspectsFetchIntervalMs = 500;

/** Minimum time between two notes of evidence on parts from one entry, in milliseconds. */
export const partNoteIntervalMs = 50;

/** Maximum number of parts of which new evidence waits to be sent. */
export const maxQueuedParts = 512;

/** Interval at which an entry looks what is due of the usage reports, in milliseconds: half of that of its contributions. */
export const usageTickMs = 100;

/** Timeout of reading the decided windows, in milliseconds. The store has at most some twenty rows of them. */
export const usageReadTimeoutMs = 1000;

/** Interval at which the usage task reads the known entries, in milliseconds: entries are noticed within one of heartbeats. */
export const usageRefreshMs = 500;

/** Maximum time between two looks at a duty's lease, in milliseconds. Changes of the store's era end the right to act. */
export const dutyCheckMs = 250;

/** Interval at which calls under way are awaited before a lease is released, in milliseconds. */
export const dutyDrainCheckMs = 20;

/** Time for the release of a lease when the entry stops, in milliseconds: a call to the platform and one to the store. */
export const dutyStopTimeoutMs = 2000;

/**
 * Share of the calls per second that the platform accepts which the holders of duties use. A new holder may follow within
 * the second of an earlier one.
 */
export const dutyCallShare = 0.5;

/** Time until an entry asks again for a server's limit whose owner did not reply, in milliseconds. It is below `peerTimeoutMs`. */
export const unansweredLimitMs = 250;
