/** Part of the platform's retry budget that is used, so that clocks and counts that differ a little keep within it. */
export const retryBudgetShare = 0.8;

/** Least number of entries among which the fixed part of the retry budget is split, with room for new ones. */
export const minBudgetEntries = 8;

/** Buckets into which the window of the retry budget is cut. */
export const retryWindowBuckets = 10;

/** Time after a signal to stop in which streams are taken, in milliseconds: until the balancer has noticed twice. */
export const shutdownStreamWindowMs = 2000;

/** Time that a single call needs before the process ends, in milliseconds. Calls take tenths of a second. */
export const shutdownCallMs = 1500;

/** Time between the signal to stop and the close of idle connections, in milliseconds: two probes of the balancer. */
export const shutdownLeaveMs = 2500;
