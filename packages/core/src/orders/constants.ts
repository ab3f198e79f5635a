/** Least time since an adapter's last use before it may be evicted, in milliseconds: entries tell their use with a lag. */
export const evictionQuietMs = 600;

/** Time for which a want stands without being repeated, in milliseconds. */
export const wantLifetimeMs = 1500;

/** Time after which an order without an answer can no longer be carried out, in milliseconds. The platform's figure is 12 s. */
export const doubtMs = 13_000;
