/** What a process has on its host. */
export type HostCapacity = {
	/** Memory of the process, in bytes. */
	readonly memoryBytes: number;
	/** Limit of the JavaScript heap, in bytes. */
	readonly heapBytes: number;
	/** Maximum number of open descriptors. */
	readonly descriptors: number;
};

/** Bounds on what a process keeps for its callers, over all connections. */
export type IntakeLimits = {
	/** Bytes of heads, bodies, unparsed requests, unread responses and the objects that hold them. */
	readonly maxBytes: number;
	readonly maxConnections: number;
};

/**
 * How far the request is for which memory is kept: its caller still sends it (`reading`), no server has got it (`waiting`),
 * a server may run it (`running`), or its caller doesn't read the response (`unread`).
 */
export type KeptStage = 'reading' | 'waiting' | 'running' | 'unread';

/** Memory that is kept for one request or connection. */
export type Holding = {
	readonly bytes: number;
	readonly stage: KeptStage;
	/** Time since which it is in this stage, in milliseconds. */
	readonly since: number;
};
