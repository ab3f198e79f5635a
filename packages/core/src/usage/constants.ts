/** Time for which a sample of another clock counts, in milliseconds: some heartbeats may be lost, and clocks may jump. */
export const clockSampleLifetimeMs = 3000;

/** Minimum number of clocks, the own one included, whose median is used. With fewer, no single one can be outvoted. */
export const minClockSources = 3;

/** Time for which counts wait for the clocks of others, in milliseconds: several heartbeats, of which some may be lost. */
export const maxClockWaitMs = 1500;

/** Maximum number of clocks that are followed, which bounds the work of an estimate. */
export const maxClockSources = 64;

/** Share of the clocks that may be off. */
export const maxWrongClockShare = 1 / 3;

/**
 * Number of windows after which a window is no longer decided. It is smaller than `maxUsageRows`, so that the row of a
 * window that may still be decided is never removed.
 */
export const maxOpenWindows = 15;

/** Maximum number of rows that the store keeps of decided windows. */
export const maxUsageRows = 20;

/** Interval of an entry's contributions while its counts change, in milliseconds. A killed entry loses that much. */
export const minContributionIntervalMs = 200;

/** Maximum contributions per second that a collector gets from all entries. */
export const maxContributionsPerSecond = 100;

/** Maximum contributions of ended processes that a collector passes on at once, within the limit per second of the holder. */
export const maxRelayedContributions = 20;

/** Maximum counts in one datagram: about 6 KB with names of 16 characters. */
export const maxCountsPerDatagram = 250;

/** Share of the time until a report is due in which contributions are awaited. The rest is for the decision and the call. */
export const maxContributionWaitShare = 0.5;

/**
 * Share of the time until a report is due for which an entry keeps a window open that has ended, since a response may tell
 * of a request that began before the end.
 */
export const maxCountingLagShare = 0.3;

/** Time that is added to the longest recent lag of a count, in milliseconds: stalls of the event loop of a small host. */
export const countingLagMarginMs = 150;

/** Share of the time until a report is due that a process assumes for its longest lag until it has seen some time of it. */
export const initialCountingLagShare = 0.15;

/** Time for which the longest lag of a count is remembered at least, in milliseconds: several windows. */
export const countingLagMemoryMs = 30_000;

/**
 * Time for which a new holder awaits contributions for windows that are due already, in milliseconds: the entries hear of it
 * by heartbeats within some intervals and send all windows that it has not acknowledged.
 */
export const takeoverWaitMs = 1500;

/**
 * Initial and maximum time until a report is sent again, in milliseconds. The maximum is below the 2 s without an answer of
 * the platform after which the holder may give the lease back.
 */
export const reportBackoffMs = {initial: 200, max: 1600} as const;

/** Time until a call is tried again that the lease did not allow, in milliseconds. */
export const heldRetryMs = 100;

/** Time until a failed step at the store is tried again, in milliseconds. */
export const usageStoreRetryMs = 300;

/** Number of times that the row of an acknowledged window is marked so. A lost mark only leads to an exact repeat. */
export const maxMarkAttempts = 3;
