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
 * Number of concurrent loads per engine, over all engines, from which the weight store is busy. Beyond it every load
 * slows down, so each engine loads one adapter at a time. The system's data sheets give 8 loads for 13 engines, 24 for
 * 34 and 32 for 38.
 */
export const storeBusyLoadsPerEngine = 0.6;

/** Number of evicted adapters that an engine caches. It loads them ten times as fast. The system's data sheet gives 102. */
export const engineCachedAdapters = 80;
