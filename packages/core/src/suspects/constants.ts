/** Number of moments at which a part's servers ended until the part is quarantined. */
export const momentsUntilQuarantine = 3;

/**
 * Number of starts of servers that quarantine a part before its third moment, if no answer with it has gone on for
 * `noProgressMs`. A part that is asked for often ends all servers within a moment or two; a third one comes only when
 * they are back.
 */
export const startsUntilQuarantine = 5;

/** Time from the first end in which an answer of a sound part goes on where other servers are left, in milliseconds. */
export const noProgressMs = 400;

/**
 * Length of the first quarantine at fewer than three moments, in milliseconds. All servers may have ended for another
 * reason, and are back soon.
 */
export const briefQuarantineMs = 2000;

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
 * Time by which a trial is put off for each further suspect part of the request, in milliseconds. Requests with the
 * fewest come first: they tell best which part it is, and are the likeliest to clear the sound ones.
 */
export const jointTrialDelayMs = 1500;

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

/** Number of requests that were given up without an answer and are kept in case their servers turn out to have ended. */
export const maxUnansweredRequests = 256;

/** Time for which such a request is kept, in milliseconds: a server that went dark is back after some seconds. */
export const unansweredLifetimeMs = 15_000;

/** Time that a server may have been silent before such a request was sent, in milliseconds. After longer, it was dark before. */
export const maxIdleBeforeMs = 1000;

/** Time within which servers that go dark count as one end of the same request, in milliseconds. */
export const sameMomentMs = 1000;
