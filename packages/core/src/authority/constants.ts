/**
 * Time after the begin of a store's era in which rows that the store has lost stay in force, in milliseconds, since their
 * owners write them again.
 */
export const eraGraceMs = 3000;
