/** Source name of the table service. No host may have it as its identifier. */
export const storeSource = 'store';

/** Interval at which the driver sends `tick`, in milliseconds. */
export const spreadTickIntervalMs = 100;

/** Reads a second that the polls of the whole fleet make together. */
export const storePollsPerSecond = 100;

/** Shortest interval between two polls of one process. */
export const shortestPollIntervalMs = 1000;

/** Time after which an unanswered poll counts as failed. */
export const pollTimeoutMs = 5000;

/** Exchanges of versions a second by each process while its peers answer. */
export const exchangesPerSecond = 2;

/** Exchanges a second that come on top while no peer answers. */
export const extraExchangesPerSecond = 10;

/** Peers with which a process talks at a time. */
export const partnerCount = 6;

/** Share of failed exchanges from which on a process asks all round instead. */
export const mostPartnerFailureShare = 0.25;

/** Time after which one of them is replaced by another. */
export const partnerIntervalMs = 10_000;

/** Peers that are told at once of a version that a process has just reached. */
export const advanceFanout = 3;

/** Peers that are told on top while no peer answers. */
export const extraAdvanceFanout = 5;

/** Weight of the latest exchange in the moving share of failed ones. */
export const failureShareWeight = 0.3;

/** Time after which an unanswered pull is repeated from more peers. */
export const pullPatienceMs = 150;

/** Most peers from which a process pulls at the same time. */
export const mostParallelPulls = 6;

/** Failed pulls after which a process no longer believes that the peer is ahead. */
export const mostPullFailures = 20;

/** Changes that a process keeps to hand to peers that are behind. */
export const retainedChangeCount = 4096;

/** Most operations in one answer to a peer, beyond its first change. */
export const answerOpCount = 2000;

/** Peers that must have answered before a process starts without the store. */
export const startPeerCount = 8;

/** Time after which any number of answers will do. */
export const startPeerWaitMs = 5000;
