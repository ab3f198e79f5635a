/** Max bytes of an answer that are buffered until it is complete. A longer answer is relayed as it arrives. */
export const maxBufferedAnswerBytes = 1024 * 1024;

/** Max bytes of an answer that are recorded for later calls with the same idempotency key. A longer answer is not recorded. */
export const maxRecordedAnswerBytes = 256 * 1024;

/** Bytes of a relayed answer that are read ahead of a slow caller, in addition to the socket buffers. */
export const readAheadBytes = 64 * 1024;

/** Time in which a caller must read written data before its connection is closed. */
export const callerStallTimeoutMs = 30_000;

/** Max time between two chunks of an agent's answer. */
export const answerIdleTimeoutMs = 60_000;

/** Time to wait beyond the deadline for the outcome of a non-repeatable call. */
export const outcomeWaitMs = 60_000;

/** Time in which a caller must send its complete request. */
export const requestTimeoutMs = 60_000;

/** Token limit of an answer if the caller sets none. */
export const defaultMaxTokens = 512;

/** Max token limit that a caller may set. */
export const maxTokensLimit = 1_000_000;

/** Max length of an idempotency key, in characters. */
export const maxIdempotencyKeyLength = 200;

/** Max time to write the error event of an incomplete stream before the connection is closed. */
export const errorEventFlushTimeoutMs = 1000;

/** Max time until the next tick of `EntryCore`. */
export const maxTickIntervalMs = 1000;

/** Max length of a header value that is forwarded to a backend server, in characters. */
export const maxForwardedHeaderLength = 200;

/** Max length of a path with its query that is forwarded to a backend server, in characters. */
export const maxPathLength = 8000;

/** Time between writing the error event of an incomplete stream and closing its connection, so that the caller can read the event. */
export const errorEventLingerMs = 50;
