/** Minimum time since the last use of an adapter before its eviction, in milliseconds. Entries report uses with a delay. */
export const minEvictionIdleMs = 600;

/** Time after which a want expires unless an entry repeats it, in milliseconds. */
export const wantLifetimeMs = 800;

/** Time after which an unresolved order can no longer take effect, in milliseconds. The platform specifies 12 s. */
export const unresolvedOrderLifetimeMs = 13_000;

/**
 * Time after which an accepted load is ordered again if the engine does not report the adapter, in milliseconds. A new
 * version waits for the requests that run on the old one, which takes up to a few seconds.
 */
export const acceptedLoadTimeoutMs = 6000;

/** Age that each waiting request adds to a want when wants are sorted for loading, in milliseconds. */
export const waitingRequestCreditMs = 150;

/**
 * Concurrent loads per engine, over all engines, that the weight store is assumed to serve at full speed until loads have
 * shown more. Beyond its number every load slows down, so each engine then loads one adapter at a time.
 */
export const initialLoadsPerEngine = 0.6;

/** Minimum of the estimated loads per engine, so that the estimate can rise again. */
export const minLoadLimitPerEngine = 0.1;

/**
 * Time by which the load of a replica comes after first loads that were asked for later, in milliseconds. Callers of a first
 * load wait for an answer within 0.8 to 2 s; a replica that has waited for longer holds back none that can be in time.
 */
export const replicaDeferMs = 2000;

/** Duration of a load against the shortest one from which the weight store was beyond its limit. */
export const slowedLoadRatio = 1.25;

/** Share by which the estimate moves towards what one load shows. */
export const loadLimitGain = 0.15;

/** Number of the last loads among which the shortest is taken for one at full speed. */
export const maxLoadDurations = 32;

/** Number of adapters that an engine caches for each of its places. It loads them ten times as fast. */
export const cachedAdaptersPerPlace = 5;

/**
 * Time for which an adapter is not unloaded again after the engine refused to, in milliseconds. It may run requests of
 * which no entry has told: about as long as a usual stream.
 */
export const refusedUnloadPauseMs = 1000;
