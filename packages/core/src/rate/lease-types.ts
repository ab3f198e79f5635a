import type {
	RateEvent,
	RateHolder,
	RateShard,
	ShardLevels,
	ShardStart,
} from './types.js';

/** The row of one shard in the store. */
export type ShardRow = {
	readonly state: 'held' | 'released';
	readonly holder: RateHolder;
	/** Unique for each start of the holder's process. */
	readonly incarnation: string;
	readonly peerAddress: string;
	/** Incremented by each claim. */
	readonly epoch: number;
	/** ID of the write. The writer uses it to recognise its own write in the row if the answer was lost. */
	readonly writeId: string;
	/** Levels of a released shard's buckets. Absent: all buckets start empty. */
	readonly levels?: ShardLevels;
};

/** A shard's row with its version in the store. */
export type VersionedShardRow = {
	readonly row: ShardRow;
	readonly version: number;
};

/** Result of a conditional write of a shard's row. */
export type ShardWriteResult =
	| {readonly kind: 'committed'; readonly version: number}
	| {readonly kind: 'conflict'; readonly current?: VersionedShardRow}
	/** The write took no effect. */
	| {readonly kind: 'unavailable'}
	/** The answer was lost: the write may have taken effect, or may still do so. */
	| {readonly kind: 'lost'};

/** Result of a check whether a holder's process is alive. */
export type HolderVerdict =
	/** The process answers with the incarnation of the row. */
	| 'alive'
	/** The port refuses connections, or another incarnation answers there. */
	| 'dead'
	/** No answer: the process may be dead, paused or unreachable. */
	| 'silent';

/** Input of an entry's lease manager. Times are of the process's monotonic clock, in milliseconds. */
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
	/** The entry has sent a message, so it is alive. */
	| {readonly type: 'peerSeen'; readonly peer: string}
	/** The holder of a shard is not known, so the rows should be read again. */
	| {readonly type: 'rowsWanted'}
	/** A message to the entry could not be delivered, as its port refused the connection. */
	| {readonly type: 'holderRefused'; readonly holder: string}
	| {
			readonly type: 'holderChecked';
			readonly shard: string;
			readonly version: number;
			readonly verdict: HolderVerdict;
	  }
	/** Release the shard, from which this entry no longer spends. The levels are passed on to the next holder. */
	| {
			readonly type: 'releaseRequested';
			readonly shard: string;
			readonly levels?: ShardLevels;
	  }
	| {readonly type: 'clockJumped'; readonly byMs: number}
	| {readonly type: 'tick'};

/** Output of an entry's lease manager. */
export type LeaseCommand =
	| {readonly type: 'readRows'}
	| {
			readonly type: 'writeRow';
			readonly writeId: string;
			readonly shard: string;
			readonly row: ShardRow;
			/** Version that the row must still have. Absent: the row must not exist yet. */
			readonly version?: number;
	  }
	| {
			readonly type: 'checkHolder';
			readonly shard: string;
			readonly version: number;
			readonly peerAddress: string;
			readonly incarnation: string;
	  }
	/** Release the shard, as this entry holds more than its share. */
	| {readonly type: 'releaseShard'; readonly shard: string}
	/** Pass the event on to the rate limiter. */
	| {readonly type: 'notifyRate'; readonly event: RateEvent};

/** A write whose outcome is not known yet. */
export type PendingWrite = {
	readonly writeId: string;
	readonly shard: string;
	readonly purpose: 'claim' | 'renew' | 'release';
	readonly start: ShardStart;
	readonly row: ShardRow;
	readonly version: number | undefined;
	/** When the write was sent. Moved back when the clock jumps. */
	sentAt: number;
	/** Whether an answer is still expected. */
	isInFlight: boolean;
};
