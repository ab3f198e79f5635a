/** Shards over which one customer's rate is split. */
export const shardsPerCustomer = 3;

/** How long transferred tokens may be spent after they were asked for. */
export const transferValidityMs = 500;

/** Allowance for the difference between two hosts' clock rates. */
export const clockRateAllowance = 1.01;

/** How long transferred tokens count against the sender's burst. */
export const transferOutstandingMs =
	Math.ceil(transferValidityMs * clockRateAllowance) + 10;

/** How long an entry waits for one holder's answer before it asks the next. */
export const transferTimeoutMs = 200;

/** How long what a holder had left is taken for what it has, before it is asked again. */
export const shortagePauseMs = 100;

/** How long a holder that did not answer is asked last. */
export const suspectPeerMs = 2000;

/** How long a reservation may give unused tokens back. */
export const openReservationMs = 16 * 60 * 1000;

/** Reservations and transfers of one bucket that may still be given back. */
export const maxOpenRecords = 8192;

/** Segments that a bucket's level history keeps. */
export const maxHistorySegments = 512;

/** A history segment that is older than this ends at the next reservation. */
export const historySegmentMs = 50;

/** A drop of the level by this share of the burst ends a history segment. */
export const historyDropShare = 0.02;

/** Shortest time to come back after a refusal. */
export const minRetryAfterMs = 20;

/** When to come back after a refusal for a customer whose limit is not known yet. */
export const unknownLimitRetryMs = 1000;

/** Table of the store with one row for each shard. */
export const shardTable = 'rate-shards';

/** Table of the store with the list of shards. */
export const shardLayoutTable = 'rate-layout';

/** Key of the list of shards. */
export const shardLayoutKey = 'current';

/** How long a lease lasts without renewal. Longer than regions lose each other. */
export const leaseMs = 75 * 60 * 1000;

/** Time between renewals of a lease while the store answers. */
export const leaseRenewalMs = 5 * 60 * 1000;

/** Time between tries after the store failed to answer. */
export const leaseRetryMs = 2000;

/** Time between readings of all shard rows, for each shard. */
export const shardPollMsPerShard = 300;

/** Time between checks of the holder of the next shard in line. */
export const holderCheckMs = 5000;

/** Most buckets whose levels a released shard carries on. */
export const maxCarriedLevels = 500;

/** How long a shard stays vacant before an entry takes more than its share. */
export const vacancyMs = 1500;

/** Time between two shards that an entry gives up to others. */
export const rebalanceMs = 20 * 1000;

/** Shortest time between readings of the rows that are made because a holder is not known. */
export const rowsWantedMs = 500;

/** A holder whose buckets of a customer are below this share asks the others to even out. */
export const refillBelowShare = 0.9;

/** Time between two such questions for one customer. */
export const refillIntervalMs = 1000;

/** Longest time for which a request waits for tokens that accrue, before it is refused. */
export const accrualWaitMs = 700;

/** Time between looks at all shards for vacant ones. */
export const shardReviewMs = 250;

/** Below this share the time between two questions is shorter. */
export const urgentRefillShare = 0.4;

/** Time between two questions for one customer while its buckets here are that low. */
export const urgentRefillIntervalMs = 200;

/** How long after its last message an entry is taken for alive. */
export const seenAliveMs = 10 * 1000;
