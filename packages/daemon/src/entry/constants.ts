/** Most bytes of an answer that are held until it is whole. A longer one is relayed as it arrives. */
export const heldAnswerBytes = 1024 * 1024;

/** Most bytes of an answer that are recorded for later calls with the same idempotency key. */
export const recordedAnswerBytes = 256 * 1024;

/** Bytes of a relayed answer that are read ahead of a slow caller, besides the buffers of the sockets. */
export const readAheadBytes = 64 * 1024;

/** Time in which a caller must take in what was written to it. */
export const callerStallMs = 30_000;

/** Longest silence of an agent in the middle of an answer. */
export const answerSilenceMs = 60_000;

/** Time beyond the deadline for which the outcome of a call that may not be repeated is waited for. */
export const outcomeWaitMs = 60_000;

/** Time in which a caller must have sent its whole request. */
export const requestTimeoutMs = 60_000;

/** Tokens that an answer may have where the caller names no limit. */
export const defaultMaxTokens = 512;

/** Most tokens that a caller may ask for. */
export const highestMaxTokens = 1_000_000;

/** Longest idempotency key. */
export const longestIdempotencyKey = 200;

/** Time that the last words of a broken answer get to leave before the connection is closed. */
export const cutFlushMs = 1000;

/** Longest time between two ticks of the entry's decisions. */
export const longestSleepMs = 1000;

/** Longest header that is handed on to a back end. */
export const longestForwardedHeader = 200;

/** Longest path, with its query, that is handed on to a back end. */
export const longestPath = 8000;

/** Time between the last words of a broken answer and the end of its connection. */
export const cutLingerMs = 50;
