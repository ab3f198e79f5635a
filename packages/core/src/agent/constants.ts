/** Shortest time after which a refused request is asked to come back. */
export const shortestRetryAfterMs = 100;

/** Longest time after which a refused request is asked to come back. */
export const longestRetryAfterMs = 60_000;

/** Time after which work for a backend server that is down may be tried again. */
export const backendRetryAfterMs = 1000;

/** Failed health checks in a row after which the backend server counts as down. */
export const healthFailuresUntilDown = 2;

/** Attempt identifiers are remembered for at least this time. */
export const attemptMemoryMs = 15 * 60 * 1000;

/** Consecutive failures of one adapter's load after which its waiting requests are refused. */
export const loadTriesBeforeRefusal = 2;

/** Time for which an adapter whose loads failed is not tried again. */
export const loadFailureBackoffMs = 2000;

/** Time after which an unload order that failed is sent again. */
export const unloadRetryMs = 500;

/** Crashes at which a fingerprint ran before it is quarantined. */
export const crashesUntilQuarantine = 2;

/** Time for which a quarantined fingerprint is refused. */
export const quarantineMs = 10 * 60 * 1000;

/** Time for which a single crash counts against a fingerprint. */
export const suspicionMs = 10 * 60 * 1000;

/** Assumed time of a request before any was measured. */
export const initialServiceMs = 500;

/** Assumed time of an adapter load before any was measured. */
export const initialLoadMs = 250;

/** Requests that must have been measured before estimates lead to refusals. */
export const samplesUntilEstimates = 5;

/** Time between two searches for waiting requests that can't make their deadline any more. */
export const hopelessCheckIntervalMs = 100;

/** Half-life with which a customer's adapter loads lose weight in the order of loads. */
export const customerLoadHalfLifeMs = 30_000;
