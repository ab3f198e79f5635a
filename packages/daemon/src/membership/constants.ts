/** Shortest time between two reads of the platform's host list. */
export const shortestPollMs = 1000;

/** Longest time between two reads, so that a leaving host is noticed within a few seconds. */
export const longestPollMs = 3000;

/** Time between two reads that each host of the fleet adds. */
export const pollMsForEachHost = 2;

/** Time in which the platform must answer. */
export const readTimeoutMs = 2000;
