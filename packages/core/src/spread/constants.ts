/** Name of the table service as a source of changes. No host may use it as its identifier. */
export const storeSource = 'store';

/** Interval at which the driver sends `tick`, in milliseconds. */
export const replicaTickIntervalMs = 100;

/** Polls of the store per second by the whole fleet. */
export const fleetPollsPerSecond = 100;

/** Minimum of the mean interval between two polls by one process, in milliseconds. */
export const minPollIntervalMs = 1000;

/** Time after which an unanswered poll counts as failed, in milliseconds. */
export const pollTimeoutMs = 5000;

/** Version exchanges per second by each process while its peers answer. */
export const exchangesPerSecond = 2;

/** Additional exchanges per second while no peer answers. Scaled by the share of failed exchanges. */
export const extraExchangesPerSecond = 10;

/** Number of partners, which are the peers with which a process regularly exchanges versions. */
export const partnerCount = 6;

/** Share of failed exchanges from which a process picks random peers instead of its partners. */
export const maxPartnerFailureShare = 0.25;

/** Interval at which one partner is replaced by another peer, in milliseconds. */
export const partnerIntervalMs = 10_000;

/** Number of peers to which a process immediately announces a version that it has just reached. */
export const announceFanout = 3;

/** Additional peers for announcements while no peer answers. Scaled by the share of failed exchanges. */
export const extraAnnounceFanout = 5;

/** Weight of the latest exchange in the moving average of failed exchanges. */
export const failureShareWeight = 0.3;

/** Time after which an unanswered pull is retried with more peers, in milliseconds. */
export const pullTimeoutMs = 150;

/** Maximum number of peers from which a process pulls at the same time. */
export const maxParallelPulls = 6;

/** Number of failed pulls after which a process gives up on the version that a peer announced. */
export const maxPullFailures = 20;

/** Number of changes that a process retains for peers that are behind. */
export const retainedChangeCount = 4096;

/** Maximum operations in one answer to a peer. The first change is always included, whatever its size. */
export const maxAnswerOps = 2000;

/** Number of peers that must have answered before a process becomes ready without the store. */
export const startupPeerCount = 8;

/** Time after startup from which the answer of a single peer is enough, in milliseconds. */
export const startupPeerWaitMs = 5000;
