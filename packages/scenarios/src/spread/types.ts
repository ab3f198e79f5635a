/** Faults of the network and the store in a simulation of configuration propagation. */
export type SpreadFaults = {
	/** Share of messages between processes that are lost. Requests and responses are drawn separately. */
	readonly lossShare: number;
	readonly isStoreDown: boolean;
	/** Response time of the store, in milliseconds. */
	readonly storeDelayMs: number;
	/** Share of the store's responses that are lost. */
	readonly storeLossShare: number;
	/** Region that can reach neither the other regions nor the store. */
	readonly partitionedRegion?: number;
};

/**
 * How processes receive changes: by exchanges between peers and polls of the store, as in the daemon;
 * by polls of the store alone; or along a fixed tree.
 */
export type SpreadPolicy = 'exchange' | 'pollsOnly' | 'tree';

/** Parameters of a simulated fleet. */
export type SpreadFleet = {
	readonly seed: number;
	readonly processCount: number;
	/** Fleet size reported to the processes, which determines how often they poll the store. Default: `processCount`. */
	readonly reportedFleetSize?: number;
	readonly regionCount: number;
	/** Default: `exchange`. */
	readonly policy?: SpreadPolicy;
	/** One-way delay of a message within a region, in milliseconds. */
	readonly intraRegionDelayMs: number;
	/** One-way delay of a message between regions, in milliseconds. */
	readonly interRegionDelayMs: number;
};

/** Counts of the calls of a simulated fleet. */
export type SpreadCounts = {
	exchanges: number;
	pulls: number;
	pulledChanges: number;
	pulledSnapshots: number;
	storeReads: number;
	/** Calls that needed a new connection, because the process had not called the peer within a minute. */
	newConnections: number;
};
