/** Share of the platform's retry budget that is used. The rest absorbs small differences in clocks and counts. */
export const retryBudgetShare = 0.8;

/** Minimum number of entries among which the fixed part of the retry budget is divided. Leaves room for new entries. */
export const minBudgetEntries = 8;

/** Number of buckets in the sliding window of the retry budget. */
export const retryWindowBuckets = 10;

/** Time after the stop signal in which streams are accepted, in milliseconds: two probes of the balancer. */
export const shutdownStreamWindowMs = 2000;

/** Minimum time left until the process ends for accepting a call that is not a stream, in milliseconds. Calls take tenths of a second. */
export const shutdownCallMs = 1500;

/**
 * Time from the stop signal until idle connections are closed, in milliseconds: two probes of the balancer. From then on,
 * requests are refused if another entry accepts them.
 */
export const shutdownLeaveMs = 2500;

/**
 * Time from the opening of a connection in which its first request may be under way, in milliseconds: a round trip between
 * distant regions (300 ms) and the shortest retransmission time of TCP (200 ms). A stopping entry keeps unused connections
 * open for that long, and stops listening that long before its process ends.
 */
export const shutdownFirstRequestMs = 500;

/**
 * Maximum length of one event of a stream, in bytes. An event is held until it is complete. Usual events have some
 * hundred bytes; one with all details of a token or with a whole tool call has some ten thousand.
 */
export const maxEventBytes = 256 * 1024;
