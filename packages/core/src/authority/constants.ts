/** Maximum number of versions of one adapter whose times are kept apart. Beyond it, the oldest ones are merged. */
export const maxDeclarationsPerAdapter = 8;
/**
 * Time after the begin of a store's era in which rows that the store has lost stay in force, in milliseconds, since their
 * owners write them again.
 */
export const eraGraceMs = 3000;

/**
 * Share of the time limit on older adapter versions for which requests are still sent to them. The rest is for the way to
 * the server and the wait there.
 */
export const versionGraceShare = 0.8;

/** Share of that time limit after which requests that have not begun on an older version are taken back from its server. */
export const versionRecallShare = 0.9;
