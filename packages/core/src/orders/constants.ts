/** Least time since an adapter's last use before it may be evicted, in milliseconds: entries tell their use with a lag. */
export const evictionQuietMs = 600;

/** Time for which a want stands without being repeated, in milliseconds. */
export const wantLifetimeMs = 800;

/** Time after which an order without an answer can no longer be carried out, in milliseconds. The platform's figure is 12 s. */
export const doubtMs = 13_000;

/**
 * Time after which an accepted load that the engine does not show is ordered again, in milliseconds. A new version
 * waits for the runs on the old one, which last up to some seconds.
 */
export const acceptedLoadMs = 6000;

/** What a further waiting request is worth against the age of a want, in milliseconds. */
export const waiterWorthMs = 150;

/**
 * Loads over all engines at which the weight store is busy, for each engine. Beyond it all loads slow down, so that
 * they are better done one after the other. The users' sheets say 8 for 13 engines, 24 for 34, 32 for 38.
 */
export const busyLoadsPerEngine = 0.6;

/** Adapters that an engine keeps at hand after they were evicted, and loads ten times as fast. The users' sheet says 102. */
export const keptAdapters = 80;
