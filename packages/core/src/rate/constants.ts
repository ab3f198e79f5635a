/** Number of shards over which one customer's rate is split. */
export const shardsPerCustomer = 3;

/** Time after the request for which transferred tokens may be spent. */
export const transferValidityMs = 500;

/** Factor that allows for different clock rates of two hosts. */
export const clockRateAllowance = 1.01;

/**
 * Time for which transferred tokens count against the sender's burst. Longer than `transferValidityMs`, so the receiver
 * can't spend them any more when they stop counting, even if its clock is slower.
 */
export const transferOutstandingMs =
	Math.ceil(transferValidityMs * clockRateAllowance) + 10;

/** Time that an entry waits for a holder's transfer before it asks the next holder. */
export const transferTimeoutMs = 200;

/** Time for which a holder is assumed to have no more tokens than it last had left. */
export const shortageTtlMs = 100;

/** Time for which a holder that did not answer is asked last. */
export const unresponsivePeerMs = 2000;

/** Time for which unused tokens of a reservation may be returned. */
export const openReservationMs = 16 * 60 * 1000;

/** Maximum number of reservations per entry, and of transfers per bucket, that are kept to accept returned tokens. */
export const maxOpenRecords = 8192;

/** Number of segments that a bucket's level history keeps when it is trimmed. */
export const maxHistorySegments = 512;

/** Age after which a history segment ends at the next drop of the level. */
export const historySegmentMs = 50;

/** Drop of the level, as a share of the burst, that ends a history segment. */
export const historyDropShare = 0.02;

/** Minimum retry delay of a refusal. */
export const minRetryAfterMs = 20;

/** Retry delay while the customer's limit or the holder of one of its shards is unknown. */
export const unknownLimitRetryMs = 1000;

/** Store table with one row per shard. */
export const shardTable = 'rate-shards';

/** Store table that contains the list of shards. */
export const shardLayoutTable = 'rate-layout';

/** Key of the list of shards in its table. */
export const shardLayoutKey = 'current';

/** Duration of a lease without renewal. Longer than regions may be cut off from each other. */
export const leaseMs = 75 * 60 * 1000;

/** Time between renewals of a lease while the store answers. */
export const leaseRenewalMs = 5 * 60 * 1000;

/** Delay before a retry after the store failed to answer. */
export const leaseRetryMs = 2000;

/** Time between reads of all shard rows, per shard: the interval is this times the number of shards. */
export const shardPollMsPerShard = 300;

/** Interval at which an entry checks the holders of the shards that follow its own. */
export const holderCheckMs = 5000;

/** Maximum number of bucket levels in a released shard's row. */
export const maxCarriedLevels = 500;

/** Time for which a shard must be vacant before an entry with its fair share claims it. */
export const vacancyGraceMs = 1500;

/** Minimum time between two shards that an entry releases to other entries. */
export const shardRebalanceIntervalMs = 20 * 1000;

/** Minimum time since the last read of the rows before an unknown holder triggers another one. */
export const minRowReadIntervalMs = 500;

/** Share of the burst below which a holder requests tokens from other holders to equalise a customer's buckets. */
export const tokenRebalanceBelowShare = 0.9;

/** Time between two requests to equalise one customer's buckets. */
export const tokenRebalanceIntervalMs = 1000;

/** Maximum time until its missing tokens accrue for which a request waits instead of being refused. */
export const maxAccrualWaitMs = 700;

/** Maximum requests of one customer that wait on an entry until holders answer or are known. */
export const maxWaitingForHolders = 64;

/** Interval at which an entry reviews all shards: claims vacant ones, checks holders and rebalances. */
export const shardReviewIntervalMs = 250;

/** Share of the burst below which requests to equalise buckets are made at the shorter interval. */
export const urgentTokenRebalanceShare = 0.4;

/** Time between two requests to equalise one customer's buckets while its local buckets are below that share. */
export const urgentTokenRebalanceIntervalMs = 200;

/** Time after its last message for which an entry is considered alive. */
export const livenessTimeoutMs = 10 * 1000;
