/** Time between two health reports, in milliseconds. */
export const healthIntervalMs = 500;

/** Time in which the backend server must answer a question for its health. */
export const healthTimeoutMs = 1000;

/** Time in which an unload order must be answered. */
export const unloadTimeoutMs = 5000;

/** Time in which a connection to the backend server must stand. */
export const connectTimeoutMs = 1000;

/** Time without a byte after which a running answer counts as lost. */
export const answerIdleTimeoutMs = 60_000;

/** Time without a header after which a running call counts as lost. Callers' deadlines are shorter. */
export const answerStartTimeoutMs = 15 * 60 * 1000;

/** Largest answer that is held in memory to be checked as a whole. */
export const wholeAnswerLimitBytes = 16 * 1024 * 1024;

/** Largest single event of a streamed answer. */
export const eventLimitBytes = 1024 * 1024;

/** Most bytes of callers' bodies that wait or run at once. */
export const heldBodiesLimitBytes = 64 * 1024 * 1024;

/** Largest body of one dispatch. */
export const dispatchBodyLimitBytes = 32 * 1024 * 1024;

/** Largest reply header, below the limit of HTTP clients. */
export const replyHeaderLimitBytes = 8 * 1024;

/** Time between two reports of generated tokens of one answer to the core. */
export const tokenReportIntervalMs = 250;

/** Time after which work that the task refused by itself may be tried again. */
export const overloadRetryAfterMs = 1000;
