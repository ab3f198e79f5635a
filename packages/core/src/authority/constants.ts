/** Maximum number of versions of one adapter whose times are kept apart. Beyond it, the oldest ones are merged. */
export const maxDeclarationsPerAdapter = 8;
/**
 * Time after the begin of a store's era in which rows that the store has lost stay in force, in milliseconds, since their
 * owners write them again.
 */
export const eraGraceMs = 3000;
