/** Number of dispatches of a request after which it is not retried on another server. */
export const maxAttempts = 4;

/** Maximum failed attempts in which a backend server may have run the request and crashed because of it. */
export const maxFailedRuns = 2;

/** Maximum retries of one request because an agent had a newer configuration. */
export const maxConfigRetries = 5;

/** Maximum time, in milliseconds, that a request waits for configuration changes that an agent already has. */
export const configWaitMs = 500;

/** Retries that the first dispatch of a request adds to the retry budget. */
export const retriesPerDispatch = 0.2;

/** Retries per second that are added to the retry budget, even without traffic. */
export const retriesPerSecond = 10;

/** Maximum number of retries in the retry budget. */
export const retryBudgetCapacity = 100;

/** Share of the remaining time that is kept as a margin, so that an agent's refusal arrives before the deadline. */
export const deadlineMarginShare = 0.02;

/** Maximum of that margin, in milliseconds. */
export const maxDeadlineMarginMs = 100;

/** Default for `retryAfterMs` of retryable refusals, in milliseconds. */
export const defaultRetryAfterMs = 1000;

/** Maximum number of fingerprints kept after crashes. */
export const maxTrackedFingerprints = 1024;

/** Crashes during which a request was running before its fingerprint is quarantined. */
export const crashesUntilQuarantine = 2;

/** Maximum number of quarantined requests that entries tell an entry that has just started. */
export const maxToldQuarantines = 128;

/** How long a fingerprint is kept, and quarantined, after its last crash, in milliseconds. */
export const quarantineMs = 10 * 60 * 1000;
