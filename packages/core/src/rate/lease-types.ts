import type {
	RateEvent,
	RateHolder,
	RateShard,
	ShardLevels,
	ShardStart,
} from './types.js';

/** The row of one shard in the table service. */
export type ShardRow = {
	readonly state: 'held' | 'released';
	readonly holder: RateHolder;
	/** Differs for each start of the holder's process. */
	readonly incarnation: string;
	readonly peerAddress: string;
	/** Grows with each new holder. */
	readonly epoch: number;
	/** Identifier of the write, to recognise it after a lost answer. */
	readonly writeId: string;
	/** What a released shard's buckets hold. Absent: nothing. */
	readonly levels?: ShardLevels;
};

/** A shard's row with the version under which the store has it. */
export type VersionedShardRow = {
	readonly row: ShardRow;
	readonly version: number;
};

/** How a conditional write of a shard's row ended. */
export type ShardWriteResult =
	| {readonly kind: 'committed'; readonly version: number}
	| {readonly kind: 'conflict'; readonly current?: VersionedShardRow}
	/** Surely without effect. */
	| {readonly kind: 'unavailable'}
	/** May have taken effect, or may still. */
	| {readonly kind: 'lost'};

/** What the check of a holder showed. */
export type HolderVerdict =
	/** The process answers with the incarnation of the row. */
	| 'alive'
	/** The port refuses connections, or another incarnation answers there. */
	| 'dead'
	/** No answer: it may be dead, paused or cut off. */
	| 'silent';

/** Input of the decisions over an entry's leases. Times are of the process's monotonic clock. */
export type LeaseEvent =
	| {readonly type: 'shardsLearned'; readonly shards: readonly RateShard[]}
	| {readonly type: 'entriesChanged'; readonly entries: readonly RateHolder[]}
	| {
			readonly type: 'rowsRead';
			readonly rows: ReadonlyMap<string, VersionedShardRow>;
	  }
	| {readonly type: 'readFailed'}
	| {
			readonly type: 'writeSettled';
			readonly writeId: string;
			readonly result: ShardWriteResult;
	  }
	/** The entry has sent a message, so it lives. */
	| {readonly type: 'peerSeen'; readonly peer: string}
	/** The holder of a shard is not known. */
	| {readonly type: 'rowsWanted'}
	/** A message to the entry could not be delivered since its port refused the connection. */
	| {readonly type: 'holderRefused'; readonly holder: string}
	| {
			readonly type: 'holderChecked';
			readonly shard: string;
			readonly version: number;
			readonly verdict: HolderVerdict;
	  }
	/** Spending from the shard has ended; the levels go to its next holder. */
	| {
			readonly type: 'releaseRequested';
			readonly shard: string;
			readonly levels?: ShardLevels;
	  }
	| {readonly type: 'clockJumped'; readonly byMs: number}
	| {readonly type: 'tick'};

/** Output of the decisions over an entry's leases. */
export type LeaseCommand =
	| {readonly type: 'readRows'}
	| {
			readonly type: 'writeRow';
			readonly writeId: string;
			readonly shard: string;
			readonly row: ShardRow;
			/** Absent: only where there is no row yet. */
			readonly version?: number;
	  }
	| {
			readonly type: 'checkHolder';
			readonly shard: string;
			readonly version: number;
			readonly peerAddress: string;
			readonly incarnation: string;
	  }
	/** The entry holds more than its share: release the shard. */
	| {readonly type: 'releaseShard'; readonly shard: string}
	/** Hand the event to the rate decisions. */
	| {readonly type: 'notifyRate'; readonly event: RateEvent};

/** A write whose outcome is not known yet. */
export type PendingWrite = {
	readonly writeId: string;
	readonly shard: string;
	readonly purpose: 'claim' | 'renew' | 'release';
	readonly start: ShardStart;
	readonly row: ShardRow;
	readonly version: number | undefined;
	/** Moved back when the clock jumps. */
	sentAt: number;
	/** Whether an answer is still expected. */
	isInFlight: boolean;
};
