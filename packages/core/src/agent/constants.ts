/** Lower bound of the retry delay in refusals. */
export const minRetryAfterMs = 100;

/** Upper bound of the retry delay in refusals. */
export const maxRetryAfterMs = 60_000;

/** Retry delay in refusals while the backend server is unavailable. */
export const backendRetryAfterMs = 1000;

/** Consecutive failed health checks after which the backend server counts as down. */
export const healthFailuresUntilDown = 2;

/** Minimum time for which attempt IDs are kept to detect repeated dispatches. */
export const attemptRetentionMs = 15 * 60 * 1000;

/** Consecutive load failures of an adapter version after which its waiting requests are refused. */
export const loadFailuresUntilRefusal = 2;

/** Backoff after repeated load failures of an adapter version, during which its requests are refused. */
export const loadFailureBackoffMs = 2000;

/** Delay before a failed unload is retried. */
export const unloadRetryMs = 500;

/** Number of crashes during which a fingerprint ran before it is quarantined. */
export const crashesUntilQuarantine = 2;

/** Duration of a quarantine. */
export const quarantineMs = 10 * 60 * 1000;

/** Time after the last crash until a fingerprint's crash record expires. */
export const crashRecordTtlMs = 10 * 60 * 1000;

/** Assumed service time of a request before any has completed. */
export const initialServiceMs = 500;

/** Assumed duration of an adapter load before any has completed. */
export const initialLoadMs = 250;

/** Completed requests required before wait estimates cause refusals. */
export const minEstimateSamples = 5;

/** Interval between checks for waiting requests that can no longer meet their deadlines. */
export const deadlineCheckIntervalMs = 100;

/** Half-life of a customer's load count, which ranks its further loads. */
export const customerLoadHalfLifeMs = 30_000;
