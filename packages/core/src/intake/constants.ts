/**
 * Share of the host's memory for callers. Code, connections to servers, the tables and garbage that is not collected yet
 * need the rest.
 */
export const memoryShare = 0.25;

/**
 * Share of the JavaScript heap for callers: the objects of requests and connections are on it, and its limit tells how large
 * a process may be whose host is not known.
 */
export const heapShare = 0.35;

/** Descriptors that the platform sets aside for files. */
export const fileDescriptors = 200;

/** Largest share of the descriptors that is set aside for files. */
export const maxFileShare = 0.25;

/** Share of the other descriptors for callers' connections. The store, other processes and servers need the rest. */
export const callerDescriptorShare = 0.75;

/** Share of the callers' memory that idle connections may take. */
export const connectionMemoryShare = 0.5;

/** Memory of an open connection without a request, in bytes. */
export const connectionBytes = 12 * 1024;

/** Memory of a request's objects without its head and body, in bytes. */
export const requestBytes = 12 * 1024;

/** Memory of a header field's objects, beside its characters, in bytes. */
export const headerFieldBytes = 48;

/** Multiple of the largest body that fits in any case: its parts, and the whole that is put together from them. */
export const bodyShares = 2;

/** Memory of a small request at most, in bytes. A prompt of some thousand tokens takes a fraction of it. */
export const smallBytes = 128 * 1024;

/** Share of the callers' memory that larger requests may take together, so that small ones are still served. */
export const largeShare = 0.75;

/** Requests of one connection that may run or wait at once. Those behind them are read when one has ended. */
export const maxRequestsPerConnection = 32;

/** Lowest pace at which a request is expected to arrive, in bytes per millisecond: 4 MiB in the time for a request, 20 s. */
export const expectedBytesPerMs = 210;

/** Weight of a byte of a request that arrives in time, in milliseconds of delay. */
export const inTimeWeightMs = 10;

/** Weight of a byte of a request that has arrived and waits. It is refused after the one that is still arriving. */
export const waitingWeightMs = 2;

/** Share of the limit that is freed beyond what is needed, so that not each further byte needs a decision. */
export const freedShare = 1 / 16;

/** Least time over which the pace is measured at which memory becomes free, in milliseconds. */
export const releaseSampleMs = 1000;

/** Bounds of `retry-after` when memory is used up, in milliseconds. */
export const overloadRetryMs = {min: 500, max: 10_000} as const;
