/** Minimum time between two reads of the platform's host list, in milliseconds. */
export const minPollIntervalMs = 1000;

/** Maximum time between two reads, in milliseconds. Bounds the time until a leaving host is noticed to a few seconds. */
export const maxPollIntervalMs = 3000;

/** Time that each host of the fleet adds to the interval between two reads, in milliseconds. */
export const pollIntervalPerHostMs = 2;

/** Timeout of a read, in milliseconds. */
export const readTimeoutMs = 2000;
