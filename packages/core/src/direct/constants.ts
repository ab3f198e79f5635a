/** Part of the platform's retry budget that is used, so that clocks and counts that differ a little keep within it. */
export const retryBudgetShare = 0.8;

/** Least number of entries among which the fixed part of the retry budget is split, with room for new ones. */
export const leastBudgetEntries = 8;

/** Buckets into which the window of the retry budget is cut. */
export const retryWindowBuckets = 10;
