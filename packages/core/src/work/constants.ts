/**
 * Age at which a report no longer says how long work takes on the engine's host, in milliseconds. Slow periods last for a
 * fraction of a second, so an older figure is more often wrong than right.
 */
export const paceLifetimeMs = 300;

/**
 * Time of one step of an engine at the usual pace until it is learned, in milliseconds: the first token comes a step after
 * its prefill.
 */
export const engineStepMs = 10;

/** Time constant with which counted demand decays, in milliseconds. The popularity of adapters changes within minutes. */
export const demandDecayMs = 10_000;

/**
 * Number of adapters whose demand is counted, the most recently requested ones. One entry is asked for fewer within
 * `demandDecayMs`.
 */
export const maxTrackedDemands = 2048;

/**
 * Decayed number of an entry's own requests for an adapter from which they say something of all entries. Rare adapters,
 * of which most are requested once in half a minute, do not reach it.
 */
export const minDemandRequests = 2;

/**
 * Share of each holder's prefill time that the prompts of one adapter may take before it gets a replica. Engines prefill
 * for about a third of their time, so one adapter is to cause no more than a third of that.
 */
export const maxHolderPrefillShare = 0.12;

/** Time of a load at the full speed of the weight store until one was seen, in milliseconds. */
export const initialLoadMs = 270;

/**
 * Pending loads per engine, over all engines, that the weight store is taken to serve at full speed until loads have shown
 * its limit.
 */
export const initialLoadsPerServer = 0.8;

/**
 * Loads at the full speed of the weight store in whose time an entry asks an engine that loads nothing for an adapter, before
 * it asks another one. An engine that loads others is waited for: when all entries changed engines while the store was busy,
 * most adapters were loaded several times.
 */
export const maxAskLoads = 4;
/** Age at which a server's figure of its load is worth nothing, in milliseconds. Loads and slowdowns change within a second. */
export const loadFigureLifetimeMs = 1000;

/** Work time of a plain service until one is known, in milliseconds. It only ranks servers: nothing is refused by it. */
export const initialWorkMs = 50;

/** Number of work times that are kept, of which the median counts: enough that one slow period does not carry it. */
export const maxWorkSamples = 32;

/**
 * Share of a request's remaining time that its expected answer may take where all places are taken. The rest is for what
 * other entries have sent since the figures that it is expected by.
 */
export const maxQueuedAnswerShare = 0.7;

/**
 * Number of histograms of output lengths that are kept, of 224 bytes each: routes, their customers, and the adapters that
 * were used most recently. An entry is asked for fewer adapters within `lengthDecayMs`.
 */
export const maxTrackedLengths = 2048;

/**
 * Time constant with which output lengths are forgotten, in milliseconds. A change of what callers ask for shows within
 * minutes; a rare adapter still has its last requests after half an hour.
 */
export const lengthDecayMs = 600_000;

/** Least length of an output without any data, in events. Callers' streams have some tens. */
export const initialOutputEvents = 32;

/**
 * Exponent by which longer outputs are less likely without any data. With 1.5, the mean is three times the least length, and
 * a stream that has run for longer than any before is expected to run for twice that again.
 */
export const initialOutputTail = 1.5;

/** Number of observed lengths that the initial ones count for: a few streams replace them. */
export const lengthPriorWeight = 2;

/** Number of observed lengths that a route's count for in those of its customers and adapters. */
export const lengthRefinementWeight = 8;

/** Number of hints that an even distribution of errors counts for. It keeps hints that were always right from being certain. */
export const hintPriorWeight = 4;

/** Number of hints of a customer from which they may count. */
export const minHintSamples = 16;

/** Number of complete streams of a route from which its learned lengths decide. */
export const minLengthSamples = 16;

/**
 * Share of the intervals between events that are taken to be without prompts. Under load most have one, and with a fifth the
 * estimate grew with the prompts that it is to limit.
 */
export const intervalQuantile = 0.05;

/** Relative step by which the quantile follows an interval: some tens of events bring it to a new value. */
export const intervalQuantileStep = 0.05;

/** Number of intervals from which they count. */
export const minIntervalSamples = 64;

/** Events of a stream per interval that is measured, so that the cost of an event stays small. */
export const eventsPerIntervalSample = 4;

/** Time for which a figure is kept that all choices of a route use, in milliseconds: it changes within minutes. */
export const figureLifetimeMs = 1000;
