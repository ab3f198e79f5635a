/** Age at which a level reported by a peer becomes too old to use, in milliseconds. A few rounds of gossip. */
export const peerLevelLifetimeMs = 3000;

/** Share of a customer's rate that all hosts together may spend while no owner answers. Half of the allowed overage. */
export const unownedRateShare = 0.05;

/** Share of the slack units that all hosts together may spend while no owner answers. The rest is for new owners. */
export const unownedSlackShare = 0.5;

/**
 * Maximum time over which units accrue before the first use of a rate without a reported level, in milliseconds. It is
 * short because an owner that can't be reached may spend the same units.
 */
export const maxUnreportedAccrualMs = 1000;
