/** Table of the store that holds one row per claim. */
export const claimTable = 'claims';

/** Maximum writes in one transaction. */
export const maxBatchWrites = 100;

/** Time after which a claim is refused if the store has not settled it, in milliseconds. */
export const claimTimeoutMs = 2000;

/** Age from which a claim without an outcome belongs to an entry that crashed, in milliseconds: no call takes that long. */
export const claimLifetimeMs = 16 * 60 * 1000;

/** Retry delay given to callers whose call is still running, in milliseconds. */
export const inProgressRetryMs = 1000;

/** Bounds of the retry delay given to callers while the store is down, in milliseconds. The delay grows with the outage. */
export const minStoreRetryMs = 1000;
export const maxStoreRetryMs = 30 * 1000;

/** Delay between attempts to store an outcome or a release while the store fails, in milliseconds. */
export const completionRetryMs = 1000;

/** Time after which the attempts to store an outcome or a release stop, in milliseconds. */
export const completionTimeoutMs = 15 * 60 * 1000;

/** Maximum transactions in flight at the same time. */
export const maxBatchesInFlight = 4;

/** Consecutive failures after which the store counts as down. */
export const failuresUntilDown = 2;

/** Time after a failure from which claims are sent to the store again, in milliseconds. They probe whether it is back. */
export const storeProbeIntervalMs = 250;
