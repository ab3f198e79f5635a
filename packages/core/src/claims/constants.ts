/** Table of the store with one row for each claim. */
export const claimTable = 'claims';

/** Most writes that go in one transaction. */
export const maxBatchWrites = 100;

/** How long the answer of a claim is looked for after the store's answer was lost. */
export const claimPatienceMs = 2000;

/** A claim of this age without an outcome has lost its entry: no call takes so long. */
export const claimLifetimeMs = 16 * 60 * 1000;

/** When to ask again for a call that is still running. */
export const inProgressRetryMs = 1000;

/** Bounds of the time to come back while the store is down. It grows with the outage. */
export const minStoreRetryMs = 1000;
export const maxStoreRetryMs = 30 * 1000;

/** Time between tries to keep an outcome or release while the store fails. */
export const endRetryMs = 1000;

/** How long it is tried to keep an outcome or release. */
export const endPatienceMs = 15 * 60 * 1000;

/** Transactions that are open at the same time at most. */
export const maxOpenBatches = 4;

/** Failures in a row after which the store is taken for down. */
export const failuresUntilDown = 2;

/** Time between claims that are let through to see whether the store is back. */
export const storeProbeMs = 250;
