/** Least time since an adapter's last use before it may be evicted, in milliseconds: entries tell their use with a lag. */
export const evictionQuietMs = 600;

/** Time for which a want stands without being repeated, in milliseconds. */
export const wantLifetimeMs = 1500;

/** Time after which an order without an answer can no longer be carried out, in milliseconds. The platform's figure is 12 s. */
export const doubtMs = 13_000;

/**
 * Time after which an accepted load that the engine does not show is ordered again, in milliseconds. A new version
 * waits for the runs on the old one, which last up to some seconds.
 */
export const acceptedLoadMs = 6000;
