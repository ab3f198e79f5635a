/** Age at which an engine's report no longer tells its load, in milliseconds: several reports were lost. */
export const reportLifetimeMs = 1500;

/** Part of an engine's slots that entries fill. The rest absorbs what other entries sent since the last report. */
export const slotShare = 0.85;

/** Part of an engine's memory that entries fill: beyond it, running requests may be preempted. */
export const memoryShare = 0.9;

/** Outstanding requests of one entry for each slot of a plain server; the server queues the rest. */
export const plainRequestsPerSlot = 2;

/**
 * Prompt tokens that an engine is given in a millisecond. It reads 20.4 where it does nothing else (the users' sheet);
 * the steps of running requests take the rest.
 */
export const promptTokensPerMs = 16;

/** Prompt tokens that an engine may have before it, in tokens: less than one chunk of 2,048, which it reads in a step. */
export const promptRoomTokens = 1800;

/** Tokens of a prompt of usual length, with which engines are compared. */
export const usualPromptTokens = 1000;

/** Delay of a usual prompt at which an adapter gets a further server, in milliseconds. */
export const copyDelayMs = 150;

/** The same for an adapter that is in use more than once, while the weight store has capacity to spare. */
export const spareCopyDelayMs = 40;

/** Loads over all engines up to which the weight store has capacity to spare, as a share of the engines. */
export const spareLoadsShare = 0.25;

/** Delay of a usual prompt from which an adapter is loaded on the next server in its order, in milliseconds. */
export const homeDelayMs = 200;

/** Part of a holder's delay that a further server may have at most. */
export const copyDelayShare = 0.5;

/** What a running request counts for against delay when engines are compared, in milliseconds. */
export const loadCostMs = 3;

/** What the way to another zone counts for, in milliseconds: some times the way itself, for the price of the bytes. */
export const otherZoneCostMs = 5;

/** What a cached prompt is worth against delay, in milliseconds: the time to read some hundred tokens. */
export const sessionWorthMs = 40;

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
export const wantLifetimeMs = 500;

/** Silence of an engine and its agent after which requests go elsewhere, in milliseconds: three reports were lost. */
export const silenceMs = 700;
