/** One part of all customers' rates. At most one entry holds a shard at a time, by a lease. */
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

/** What one customer may spend over all hosts together. */
export type RateLimit = {
	readonly customer: string;
	readonly tokensPerSecond: number;
	readonly burstTokens: number;
};

/** Levels of buckets that a holder left behind when it released a shard. Customers that are not named were full. */
export type ShardLevels = Readonly<Record<string, number>>;

/** What the buckets of a shard hold when its lease begins. */
export type ShardStart =
	/** Nobody ever held the shard. */
	| {readonly kind: 'full'}
	/** The last holder died or its lease lapsed. */
	| {readonly kind: 'empty'}
	/** The last holder released the shard. */
	| {readonly kind: 'levels'; readonly levels: ShardLevels};

/** Input of an entry's rate decisions. All times are of the process's monotonic clock, in milliseconds. */
export type RateEvent =
	/** A request wants tokens. */
	| {
			readonly type: 'reserveRequested';
			readonly requestId: string;
			readonly customer: string;
			readonly tokens: number;
			/** Longest wait for tokens from other holders, in milliseconds. */
			readonly patienceMs: number;
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
			/** Given when the asking entry wants to even out: the share to which its own buckets are filled. */
			readonly fillShare?: number;
	  }
	/** Another holder's answer. Zero tokens: it has none to spare. */
	| {
			readonly type: 'transferArrived';
			readonly peer: string;
			readonly transferId: string;
			readonly tokens: number;
			/** When that holder expects to have tokens, in milliseconds. */
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
	/** Another entry gives transferred tokens back that it did not spend. */
	| {
			readonly type: 'transferReturned';
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
	  }
	/** The shards into which rates are split, the same on all hosts. Given once. */
	| {readonly type: 'shardsLearned'; readonly shards: readonly RateShard[]}
	/** Who holds which shard, as far as is known. */
	| {
			readonly type: 'holdersLearned';
			readonly holders: ReadonlyMap<string, RateHolder>;
	  }
	/** Limits that are new or changed. */
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
	/** More time went by than the monotonic clock shows, as the wall clock says. */
	| {readonly type: 'clockJumped'; readonly byMs: number}
	| {readonly type: 'tick'};

/** Output of an entry's rate decisions. */
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
	/** Answer to another entry. The tokens were deducted already. */
	| {
			readonly type: 'sendTransfer';
			readonly peer: string;
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
			readonly retryAfterMs?: number;
	  }
	/** Tell the holder that its tokens were spent, so that they no longer count against its burst. */
	| {
			readonly type: 'confirmTransfer';
			readonly peer: string;
			readonly transferId: string;
			readonly customer: string;
	  }
	/** The holder of a shard is not known: find out. */
	| {readonly type: 'refreshHolders'}
	/** Give transferred tokens back to the holder that they came from. */
	| {
			readonly type: 'returnTransfer';
			readonly peer: string;
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
	  };

/** Decides over a customer's tokens on one entry. Ours and the simpler ways to compare it with share this form. */
export type RateDecider = {
	handle(event: RateEvent, now: number): readonly RateCommand[];
};
