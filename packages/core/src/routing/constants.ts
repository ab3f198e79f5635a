/** Maximum preferred servers per subject and region. Also the maximum servers whose adapter states are tracked per subject. */
export const maxPreferredServers = 12;

/** Maximum subjects whose preferred servers and adapter states are cached. */
export const maxCachedSubjects = 16_384;

/** Maximum servers whose load is tracked. Servers with dispatches in flight are never evicted. */
export const maxTrackedServers = 2048;

/** Consecutive failures after which a server is suspected and ranks last. */
export const failuresUntilSuspected = 3;

/** Minimum interval between two probes of a server, in milliseconds. */
export const probeIntervalMs = 1000;

/** Time without a report after which a server with an unanswered dispatch is probed, in milliseconds. */
export const silenceTimeoutMs = 1000;

/** Consecutive missed probes after which a server's dispatches count as lost. */
export const probesUntilLost = 2;

/** Maximum probes sent at the same time. */
export const maxProbesAtOnce = 16;

/** Time over which the weight of a load report falls linearly to zero, in milliseconds. */
export const reportDecayMs = 5000;

/** Time in which new servers and the servers of a returning zone reach their full share of work, in milliseconds. */
export const slowStartMs = 30_000;

/** Share of work at the beginning of the slow start. */
export const startShare = 0.1;

/** Window assumed for a server before its first report. */
export const defaultWindow = 8;
