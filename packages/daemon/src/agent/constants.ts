/** Time between two health checks, in milliseconds. */
export const healthIntervalMs = 500;

/** Timeout of a health check, in milliseconds. */
export const healthTimeoutMs = 1000;

/** Timeout of an unload operation, in milliseconds. */
export const unloadTimeoutMs = 5000;

/** Timeout for connecting to the backend server, in milliseconds. */
export const connectTimeoutMs = 1000;

/** Time without a byte of the body after which a response counts as lost, in milliseconds. */
export const responseIdleTimeoutMs = 60_000;

/** Time without response headers after which a call counts as lost, in milliseconds. Callers' deadlines are shorter. */
export const responseHeadersTimeoutMs = 15 * 60 * 1000;

/** Largest non-streamed response, in bytes. It is buffered in memory and checked before it is relayed. */
export const completeResponseLimitBytes = 16 * 1024 * 1024;

/** Largest single event of a streamed response, in bytes. */
export const eventLimitBytes = 1024 * 1024;

/** Limit on the total size of the request bodies of queued and running attempts, in bytes. */
export const bufferedBodiesLimitBytes = 64 * 1024 * 1024;

/** Largest request body of one dispatch, in bytes. */
export const dispatchBodyLimitBytes = 32 * 1024 * 1024;

/** Largest reply header, in bytes. HTTP clients reject longer ones. */
export const replyHeaderLimitBytes = 8 * 1024;

/** Minimum time between two reports to the core of one response's generated tokens, in milliseconds. */
export const tokenReportIntervalMs = 250;

/** Retry delay sent with refusals that `AgentTask` sends without passing the dispatch to `AgentCore`, in milliseconds. */
export const overloadRetryAfterMs = 1000;
