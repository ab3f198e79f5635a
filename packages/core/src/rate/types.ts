/** One part of all customers' rates. At most one entry holds the lease of a shard at a time. */
export type RateShard = {
	readonly id: string;
	readonly region: string;
};

/** An entry host that may hold shards. */
export type RateHolder = {
	readonly id: string;
	readonly zone: string;
	readonly region: string;
};

/** Tokens that one customer may spend, summed over all hosts. */
export type RateLimit = {
	readonly customer: string;
	readonly tokensPerSecond: number;
	readonly burstTokens: number;
};

/** Levels of a released shard's buckets, by customer. Buckets of customers that are not listed were full. */
export type ShardLevels = Readonly<Record<string, number>>;

/** Initial levels of a shard's buckets when a lease begins. */
export type ShardStart =
	/** No entry has held the shard before. */
	| {readonly kind: 'full'}
	/** The previous holder crashed, its lease expired, or it released the shard without levels. */
	| {readonly kind: 'empty'}
	/** The previous holder released the shard. */
	| {readonly kind: 'levels'; readonly levels: ShardLevels};

/** Input of an entry's rate limiter. Times are of the process's monotonic clock, in milliseconds. */
export type RateEvent =
	/** A request needs tokens. */
	| {
			readonly type: 'reserveRequested';
			readonly requestId: string;
			readonly customer: string;
			readonly tokens: number;
			/** Maximum time to wait for tokens, in milliseconds. */
			readonly maxWaitMs: number;
	  }
	/** A request used fewer tokens than it reserved. */
	| {
			readonly type: 'tokensReturned';
			readonly requestId: string;
			readonly tokens: number;
	  }
	/** Another entry asks this holder for tokens. */
	| {
			readonly type: 'transferRequested';
			readonly peer: string;
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
			/** Present if the requesting entry wants to equalise buckets: the fill of its own, as a share of their burst. */
			readonly fillShare?: number;
	  }
	/** Another holder's answer to a transfer request. Zero tokens: it has none to spare. */
	| {
			readonly type: 'transferArrived';
			readonly peer: string;
			readonly transferId: string;
			readonly tokens: number;
			/** Time until that holder expects to have the missing tokens, in milliseconds. */
			readonly retryAfterMs?: number;
	  }
	| {
			readonly type: 'transferFailed';
			readonly peer: string;
			readonly transferId: string;
	  }
	/** Another entry has spent transferred tokens. */
	| {
			readonly type: 'transferSpent';
			readonly transferId: string;
			readonly customer: string;
	  }
	/** Another entry returns transferred tokens that it did not spend. */
	| {
			readonly type: 'transferReturned';
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
	  }
	/** The shards into which rates are split, the same on all hosts. Sent once. */
	| {readonly type: 'shardsLearned'; readonly shards: readonly RateShard[]}
	/** The known holders, by shard. */
	| {
			readonly type: 'holdersLearned';
			readonly holders: ReadonlyMap<string, RateHolder>;
	  }
	/** New or changed limits. */
	| {readonly type: 'limitsChanged'; readonly limits: readonly RateLimit[]}
	/** This entry holds the shard until `validUntil`; the lease is new or renewed. */
	| {
			readonly type: 'leaseGranted';
			readonly shard: string;
			readonly epoch: number;
			readonly validUntil: number;
			readonly start: ShardStart;
	  }
	| {readonly type: 'leaseLost'; readonly shard: string}
	/** The wall clock shows that more time has passed than the monotonic clock counted. */
	| {readonly type: 'clockJumped'; readonly byMs: number}
	| {readonly type: 'tick'};

/** Output of an entry's rate limiter. */
export type RateCommand =
	| {readonly type: 'reserved'; readonly requestId: string}
	| {
			readonly type: 'reserveRefused';
			readonly requestId: string;
			/** Absent when the request is larger than the customer's burst. */
			readonly retryAfterMs?: number;
	  }
	| {
			readonly type: 'requestTransfer';
			readonly peer: string;
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
			readonly fillShare?: number;
	  }
	/** Answer another entry's transfer request. The tokens have already been deducted. */
	| {
			readonly type: 'sendTransfer';
			readonly peer: string;
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
			readonly retryAfterMs?: number;
	  }
	/** Notify the holder that its tokens were spent and no longer count against its burst. */
	| {
			readonly type: 'confirmTransfer';
			readonly peer: string;
			readonly transferId: string;
			readonly customer: string;
	  }
	/** Look up the holders again, as the holder of a shard is not known. */
	| {readonly type: 'refreshHolders'}
	/** Return transferred tokens to the holder that sent them. */
	| {
			readonly type: 'returnTransfer';
			readonly peer: string;
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
	  };

/** Rate limiter of one entry. Implemented by `RateCore` and by the simpler limiters that it is compared with. */
export type RateLimiter = {
	handle(event: RateEvent, now: number): readonly RateCommand[];
};
