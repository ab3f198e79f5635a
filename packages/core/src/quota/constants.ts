/** Age at which a level that a peer told no longer says what is left, in milliseconds: some rounds of gossip. */
export const heardLevelLifetimeMs = 3000;

/** Part of a customer's rate that all hosts together may use without its owner. Half of the overage allowed. */
export const unownedRateShare = 0.05;

/** Part of the slack in units that all hosts together may use without a customer's owner. The rest is for new owners. */
export const unownedSlackShare = 0.5;

/**
 * Time for which a rate of which nobody told has accrued when it is first asked for, in milliseconds. Short, as an
 * owner that can't be heard may spend it too.
 */
export const untoldAccrualMs = 1000;
