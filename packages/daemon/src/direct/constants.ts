/** Time between two beats to the other entries, in milliseconds. */
export const beatIntervalMs = 200;

/** Silence after which an entry counts as away, in milliseconds: three beats and the way. */
export const peerSilenceMs = 700;

/** Time for an answer about a customer's rate, in milliseconds: many times the way between zones. */
export const quotaTimeoutMs = 60;

/** Questions to a customer's owner until its rate is taken from the part kept for this. */
export const quotaTries = 2;

/** Delay of a turn below which a timer does not pay, in milliseconds. */
export const shortestTurnMs = 1;

/** Time for an answer of an agent about a turn, in milliseconds: many times the way between zones. */
export const turnTimeoutMs = 30;

/** Time between two demands to an agent, in milliseconds. */
export const demandIntervalMs = 250;

/** Time between two demands to an agent of which nothing is wanted, in milliseconds. */
export const quietDemandIntervalMs = 1000;

/**
 * Wait for a change of the authority's statements, in milliseconds: as long as proofs of freshness allow it, but
 * neither a call after the other nor so long that a restarted store is noticed late.
 */
export const authorityWaitMs = {least: 100, most: 1200} as const;

/** Least time between two reads of the list of servers, in milliseconds. A leaving server is due within 2 s. */
export const serversIntervalMs = 800;

/** Longest wait for a change of the list of members, in milliseconds. */
export const membersWaitMs = 10_000;

/** Least time between two reads of the list of members, in milliseconds. */
export const membersIntervalMs = 1000;

/** Time for an answer of the store beyond the wait that was asked for, in milliseconds. */
export const storeTimeoutMs = 1000;

/** First and longest pause after a call to the store that failed, in milliseconds. */
export const storeBackoffMs = {first: 150, longest: 800} as const;

/** Time to open a connection to a server, in milliseconds. */
export const connectTimeoutMs = 1000;

/** Time for which a connection to a server is kept without requests, in milliseconds, where the server names none. */
export const keepAliveMs = 10_000;

/** Least time between two rounds over the waiting requests, in milliseconds. */
export const wakeIntervalMs = 10;

/** Part of its time that a request may wait for a place or an adapter before it is refused. */
export const longestWaitShare = 0.3;

/** Part of its time after which a prompt that has a server may still get its turn. */
export const longestTurnShare = 0.5;

/** Time after which a refused caller may come back where nothing better is known, in milliseconds. */
export const retryAfterMs = 500;

/** Time after which a caller may come back that another entry can serve at once, in milliseconds. */
export const elsewhereRetryAfterMs = 50;

/** Part of the grace time that is left when the process ends by itself, in milliseconds. */
export const graceMarginMs = 500;

/** Time between two reports of an engine to which nothing is on its way, in milliseconds. */
export const reportIntervalMs = 200;

/** Time between two reports of an engine without requests, in milliseconds. Entries miss an engine after 700. */
export const quietReportIntervalMs = 300;

/** Time between two reports of an engine that loads adapters, in milliseconds. */
export const busyReportIntervalMs = 25;

/** Time between two reports of an engine that no entry uses, in milliseconds. */
export const idleReportIntervalMs = 2000;

/** Time after its last demand at which an entry no longer gets reports, in milliseconds. */
export const demandLifetimeMs = 3000;
