/** Age at which a level reported by a peer becomes too old to use, in milliseconds. A few rounds of gossip. */
export const peerLevelLifetimeMs = 3000;

/** Share of a customer's rate that all hosts together may spend while no owner answers. Half of the allowed overage. */
export const unownedRateShare = 0.05;

/** Share of a customer's rate that is not held back for entries that are lost. The other half of the allowed overage. */
export const toleratedLostShare = 0.05;

/** Share of the slack units that all hosts together may spend while no owner answers. The rest is for new owners. */
export const unownedSlackShare = 0.5;

/**
 * Maximum time over which units accrue before the first use of a rate without a reported level, in milliseconds. It is
 * short because an owner that can't be reached may spend the same units.
 */
export const maxUnreportedAccrualMs = 1000;

/**
 * Longest time until a planned return of a refused request for which units are set aside in the plan, in milliseconds. No
 * caller that waits half a minute at most comes back later than a third of that.
 */
export const maxReturnMs = 10_000;

/**
 * Time for which a limit that an entry asked with counts beside those of others, in milliseconds. An entry keeps an earlier
 * limit until its next response from the server.
 */
export const limitStatementLifetimeMs = 1500;

/**
 * Least rate at which all entries together send to a server, in requests a second, whatever limit it names: without a
 * request, none would learn that the limit has ended.
 */
export const minLimitPerSecond = 0.25;

/** Time for which a reported level of a server's limit is kept, in milliseconds. A level that is too old starts empty. */
export const limitLevelLifetimeMs = 60_000;

/**
 * Time from its start in which a process grants nothing of the slack, in milliseconds, as an earlier process of its host may
 * have granted it. Longer than the window of the platform's limit (8 s).
 */
export const slackWindowMs = 10_000;

/** Time after which to ask again while an entry does not know its part of a rate, in milliseconds. A round of reads of the store. */
export const unknownPartRetryMs = 1000;
