/** Faults of the network and the store in a simulation of the spread. */
export type SpreadFaults = {
	/** Share of messages between processes that are lost, each way by itself. */
	readonly lossShare: number;
	readonly isStoreDown: boolean;
	/** Time that the store takes to answer, in milliseconds. */
	readonly storeDelayMs: number;
	/** Share of the store's answers that are lost. */
	readonly storeLossShare: number;
	/** Region that has no connection with the others and the store. */
	readonly cutRegion?: number;
};

/** How a fleet learns of changes: as the daemon does, by polls alone, or along a fixed tree. */
export type SpreadPolicy = 'exchange' | 'pollsOnly' | 'tree';

/** The fleet of a simulation. */
export type SpreadFleet = {
	readonly seed: number;
	readonly processCount: number;
	/** Processes that each process takes the fleet to have. By default as many as there are. */
	readonly reportedCount?: number;
	readonly regionCount: number;
	/** By default `exchange`. */
	readonly policy?: SpreadPolicy;
	/** Time of a message within a region, in milliseconds. */
	readonly nearDelayMs: number;
	/** Time of a message between regions, in milliseconds. */
	readonly farDelayMs: number;
};

/** Counts of what a simulated fleet sent. */
export type SpreadCounts = {
	exchanges: number;
	pulls: number;
	pulledChanges: number;
	pulledSnapshots: number;
	storeReads: number;
	/** Calls to a peer that the process had not called within a minute, so that no connection was open. */
	newConnections: number;
};
