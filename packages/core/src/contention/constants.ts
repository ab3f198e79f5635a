/**
 * Share of the granted tokens that goes to the prompt that has waited longest, whichever it is. An eighth lets the order
 * decide nearly everything, and serves each prompt after at most eight times the tokens of what arrived before it.
 */
export const longestWaitShare = 1 / 8;

/** Interval at which an entry asks again for a waiting prompt, in milliseconds. A lost grant delays a prompt by no more. */
export const turnAskIntervalMs = 250;

/** Time after its last ask at which a place in the queue is free, in milliseconds: three asks were lost. */
export const turnPlaceLifetimeMs = 800;

/**
 * Time for which a granted turn is remembered, in milliseconds, so that an entry that asks again gets the grant that was
 * lost instead of a second turn.
 */
export const turnGrantLifetimeMs = 800;

/**
 * Weight of a customer without a rate limit, in tokens per second as for the others. Equal to that of a small customer, so
 * that the limited ones are not crowded out.
 */
export const defaultTurnWeight = 1000;

/**
 * Least time after which a refused caller is to come back, in milliseconds: about one backlog of prompts at an engine, as
 * before that little has changed there.
 */
export const minTurnRetryAfterMs = 100;

/**
 * Interval at which the first request of each group of waiting requests looks for a server although no event was noted, in
 * milliseconds. It repeats wants of adapters, which expire after 500 ms, before one lost datagram ends them, and finds what
 * no event tells: a server that went silent, or the end of a limit per second.
 */
export const waitProbeIntervalMs = 200;

/**
 * Share of the places that goes to the request that has waited longest, whichever it is: as for prompts at an engine, the
 * order decides nearly everything, and each request gets one after at most eight times the places of those before it.
 */
export const longestWaitPlaceShare = 1 / 8;

/**
 * Number of requests of one group that are tried in order although one before them found no server, as they need less
 * memory. Each costs as much as a choice of a server, so that many would take the processor time that the groups save.
 */
export const maxOrderedTries = 2;

/**
 * Time after `Retry-After` in which a request counts as one that returns, in milliseconds: callers come back within a second
 * of that time or give up.
 */
export const refusedCallerLifetimeMs = 1000;

/** Number of refusals that are remembered: more than an entry refuses in the longest `Retry-After`. */
export const maxRefusedCallers = 2048;
