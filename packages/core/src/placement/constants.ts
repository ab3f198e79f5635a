/** Age at which an engine's report no longer tells its load, in milliseconds: several reports were lost. */
export const reportLifetimeMs = 1500;

/** Part of an engine's slots that entries fill. The rest absorbs what other entries sent since the last report. */
export const slotShare = 0.85;

/** Part of an engine's memory that entries fill: beyond it, running requests may be preempted. */
export const memoryShare = 0.9;

/** Outstanding requests of one entry for each slot of a plain server; the server queues the rest. */
export const plainRequestsPerSlot = 2;

/** Load at which an adapter gets a second server, in outstanding requests. */
export const replicationLoad = 24;

/** Load at which an adapter that is in use more than once gets a second server while few loads are under way. */
export const spareReplicationLoad = 4;

/** Loads over all servers up to which the weight store has capacity to spare. It bears eight at full speed. */
export const sparePendingLoads = 3;

/**
 * Time for which a request that was just sent counts as being read, in milliseconds. A prompt of average length is
 * read in 75 ms; prompts that are read together slow all streams of the engine.
 */
export const promptReadMs = 250;

/** Weight of a prompt that is being read against a running request. */
export const promptWeight = 4;

/** Difference in load below which a session stays with its server, in requests. */
export const sessionLoadTolerance = 6;

/** Sessions whose server is remembered. */
export const rememberedSessions = 4096;

/** Loads that an engine carries out at once. The platform's figure. */
export const maxPendingAdapters = 4;

/** Time for which an older adapter version is used after a newer one was declared, in milliseconds. */
export const versionGraceMs = 2500;

/** Time for which a server that vanished from the list during an outage of the store is still used, in milliseconds. */
export const vanishedGraceMs = 1800;

/** Time after an outage of the store in which servers that it dropped may come back, in milliseconds. */
export const outageAftermathMs = 3000;

/** Time for which a server is avoided after it broke a connection or did not answer, in milliseconds. */
export const suspicionMs = 1000;

/** Time for which a want stands without being repeated, in milliseconds. */
export const wantLifetimeMs = 1000;

/** Silence of an engine and its agent after which requests go elsewhere, in milliseconds: three reports were lost. */
export const silenceMs = 700;
