/** Number of moments at which a part's servers ended until the part is quarantined. */
export const momentsUntilQuarantine = 3;

/** Number of moments from which a request that was already interrupted isn't sent again. */
export const momentsUntilNoRepeat = 2;

/** Time from the first end of a moment in which further ends belong to the same moment, in milliseconds. */
export const momentGapMs = 250;

/** Length of the first quarantine, in milliseconds. Each trial makes the next one longer by `trialFactor`. */
export const trialBaseMs = 8000;

/** Factor by which the quarantine grows with each trial. */
export const trialFactor = 4;

/** Maximum length of a quarantine, in milliseconds. Below `endTtlMs`: a trial comes before the evidence is forgotten. */
export const maxQuarantineMs = 9 * 60_000;

/** Time after which an end is no longer evidence, in milliseconds. */
export const endTtlMs = 10 * 60_000;

/**
 * Time for which a request with several quarantined parts is not used as a trial after all of them are due, in
 * milliseconds. Requests with one of them come first, as they tell which part it is.
 */
export const jointTrialDelayMs = 4000;

/** Minimum time to come back that is told to the caller of a quarantined part, in milliseconds. */
export const minRetryAfterMs = 1000;

/**
 * Difference in time up to which two entries' notes of a clearance or trial are the same one, in milliseconds. Ages grow
 * by the delay of each message, so notes that are passed on would become newer without end.
 */
export const ageToleranceMs = 500;

/** Maximum number of parts with evidence. */
export const maxTrackedParts = 4096;

/** Number of parts that remain after an eviction. */
export const partsAfterEviction = 3584;

/** Maximum number of moments kept of a part, the newest. */
export const maxMomentsPerPart = 8;

/** Maximum number of ends kept of a part. */
export const maxEndsPerPart = 32;

/** Maximum length of a part's key and of a start, in characters. Longer ones are ignored. */
export const maxPartLength = 128;

/** Maximum number of parts of a request. Further ones are ignored. */
export const maxPartsPerRequest = 16;
