/** Most dispatches of one request. */
export const maxAttempts = 4;

/** Most attempts of one request that ended while a back end may have run it and may have died of it. */
export const maxFailedRuns = 2;

/** Most times that a request is decided again because the configuration was behind. */
export const maxRedecisions = 5;

/** Longest wait for changes of the configuration that an agent knows. */
export const configWaitMs = 500;

/** Retries that each first dispatch allows. */
export const retriesForEachDispatch = 0.2;

/** Retries that are allowed each second without traffic. */
export const retriesEachSecond = 10;

/** Most retries that are saved up. */
export const maxSavedRetries = 100;

/** Part of the time left that stays with the entry, so that an agent's refusal arrives before the deadline. */
export const deadlineMarginShare = 0.02;

/** Most milliseconds of that part. */
export const longestDeadlineMarginMs = 100;

/** Wait before a new try where nothing better is known. */
export const defaultRetryAfterMs = 1000;

/** Fingerprints that are remembered after a crash. */
export const rememberedFingerprints = 1024;

/** Crashes at which a request was present until its like is refused. */
export const crashesUntilQuarantine = 2;

/** Time for which a fingerprint is remembered and refused. */
export const quarantineMs = 10 * 60 * 1000;
