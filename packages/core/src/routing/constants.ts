/** Servers that are remembered in order for each subject and region. */
export const preferredServers = 12;

/** Subjects whose order of servers is remembered. */
export const rememberedSubjects = 16_384;

/** Servers whose load is remembered. Those with work in flight are always kept. */
export const rememberedServers = 2048;

/** Failures in a row after which a server goes to the end of the order. */
export const failuresUntilSuspected = 3;

/** Time between two probes of a suspected server. */
export const probeIntervalMs = 1000;

/** Time without a word from a server that has not answered a dispatch, after which it is probed. */
export const silenceMs = 1000;

/** Probes without an answer in a row after which a server's dispatches are taken for lost. */
export const probesUntilLost = 2;

/** Most probes that are sent at once. */
export const probesAtOnce = 16;

/** Time over which a report of a server's load loses its weight. */
export const reportDecayMs = 5000;

/** Time over which servers of a returning zone, and new servers, get their full share of work. */
export const rampMs = 30_000;

/** Share of work at the start of the ramp. */
export const rampStartShare = 0.1;

/** Window that is assumed of a server before its first report. */
export const assumedWindow = 8;
