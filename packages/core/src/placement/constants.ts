/** Age at which an engine's report is stale, in milliseconds: several reports were lost. */
export const reportLifetimeMs = 1500;

/** Share of an engine's slots that an entry fills. The rest absorbs requests that other entries sent since the last report. */
export const maxSlotUtilization = 0.85;

/** Share of an engine's memory that entries fill. Beyond it, the engine may preempt running requests. */
export const maxMemoryUtilization = 0.9;

/** Maximum outstanding requests of one entry per slot of a plain server, which queues the requests beyond its slots. */
export const maxPlainRequestsPerSlot = 2;

/** Prefill rate that is assumed for an engine until enough prompts were timed, in tokens per millisecond. */
export const initialPrefillTokensPerMs = 16;

/** Bounds of the estimated prefill rate, in tokens per millisecond. */
export const prefillRateBounds = {min: 4, max: 80} as const;

/** Part of the time to the first event that is not prefill: the network, the end of the step under way, one decode step. */
export const prefillOverheadMs = 12;

/** Quantile of the sampled rates that is used. Samples are low where a prompt had to share its steps. */
export const prefillRateQuantile = 0.6;

/** Number of samples from which the estimate no longer depends on the initial rate. */
export const minPrefillSamples = 8;

/** Maximum of the observed rate against the initial one while there are fewer samples than that. */
export const maxEarlyRateFactor = 3;

/** Maximum number of samples, so that the estimate follows a change of the engine. */
export const maxPrefillSamples = 48;

/** Age at which a sample no longer counts, in milliseconds. */
export const prefillSampleLifetimeMs = 20_000;

/** Minimum length of a prompt that is sampled, in tokens. */
export const minSampledPromptTokens = 400;

/** Maximum tokens of prompts ahead of a sampled one, as a share of its own. */
export const maxTokensAheadShare = 0.3;

/** Maximum change of the slowdown during a sample, as a factor. Beyond it, the pace of the sample is not known. */
export const maxSampledSlowdownChange = 1.1;

/** Maximum number of samples that an entry keeps for an agent until its next demand. */
export const maxReportedPrefills = 8;

/**
 * Maximum backlog of prompts at an engine, in milliseconds of prefill. About one step's worth, so that running streams
 * pause for hardly more than one step.
 */
export const maxPromptBacklogMs = 112;

/**
 * Steps of an engine per stream event. Engines do not tell it, and entries see only the time between events, which prefill
 * lengthens. This is a cautious bound: events have three or four tokens, one per step.
 */
export const maxStepsPerEvent = 4;

/** Time of an engine's step without prefill at its usual pace until it is learned, in milliseconds. */
export const usualStepMs = 10;

/**
 * Bounds of the learned time of the steps of one event, as factors of the assumed one. Beyond the upper one, prompts of slow
 * engines would wait for seconds to shorten pauses that stay over the limit.
 */
export const eventStepsBounds = {min: 0.25, max: 1.5} as const;

/** Weight of one entry's figure in the agent's estimate of that time. Each entry tells one with a demand, if it has a new one. */
export const eventStepsWeight = 0.1;

/**
 * Minimum share of the longest pause that is left for prompts. Where the steps of one event alone take longer than the
 * pause allows, streams are late in any case, and prompts must still be taken.
 */
export const minPromptShareOfPause = 0.2;

/** Time after a prompt of a route with a limit of the pause in which its stream may run, in milliseconds: callers wait no longer. */
export const pauseLimitLifetimeMs = 30_000;

/** Age at which a reported slowdown no longer counts, in milliseconds: slow periods last a fraction of a second. */
export const slowdownLifetimeMs = 1000;

/**
 * Time for which an engine is expected to turn slow again, in milliseconds. Where work is slow for 15% of the time in periods
 * of a fraction of a second, one comes every few seconds.
 */
export const slowPeriodMemoryMs = 10_000;

/**
 * Maximum time for which a prompt waits that would make running streams pause too long only because the host is slow, in
 * milliseconds, from the time at which the host became slow: half of the shortest target to the first event (0.8 s), so that
 * the prompt can still be in time afterwards. A host that stays slow gets it then.
 */
export const maxSlowPeriodWaitMs = 400;

/** Maximum number of changes of the slowdown that are kept: one per reading of the report in the memory's time, at most. */
export const maxSlowdownChanges = 256;

/** Length of a typical prompt in tokens, for comparing the prompt delays of engines. */
export const typicalPromptTokens = 1000;

/** Delay of a typical prompt at which an adapter gets a replica on another server, in milliseconds. */
export const replicaDelayMs = 150;

/**
 * Like `replicaDelayMs`, but for an adapter with more of this entry's requests than servers that hold it, while the
 * weight store has spare capacity. In milliseconds.
 */
export const spareReplicaDelayMs = 40;

/** Share of the slots in use at the least busy holder from which an adapter gets a replica, before its requests queue. */
export const replicaSlotUtilization = 0.6;

/** Maximum share of the slots in use at a server that gets a replica, against the least busy holder. */
export const maxReplicaUtilizationShare = 0.5;

/** Pending loads per engine, over all engines, up to which the weight store has spare capacity. */
export const spareLoadsPerEngine = 0.25;

/** Delay of a typical prompt from which a load goes to the next server in the adapter's rendezvous order, in milliseconds. */
export const maxLoadTargetDelayMs = 200;

/** Maximum prompt delay of a server that gets a replica, as a share of the least delay among the holders. */
export const maxReplicaDelayShare = 0.5;

/** Cost of one request at a server when servers are compared, in milliseconds of delay. */
export const runningRequestCostMs = 3;

/**
 * Cost of a server in another zone, in milliseconds of delay. It is a few times the network delay, as traffic between
 * zones is billed.
 */
export const crossZoneCostMs = 5;

/** Credit for a cached prompt, in milliseconds of delay: the time to prefill several hundred tokens. */
export const cachedPromptCreditMs = 40;

/** Maximum number of sessions whose server is tracked. */
export const maxTrackedSessions = 4096;

/** Maximum number of concurrent loads of an engine, as the platform specifies. */
export const maxPendingAdapters = 4;

/**
 * Time in which the list was not known to be the newest that counts as an outage of the store, in milliseconds. While the
 * store answers, entries learn of changes sooner; in a shorter outage, the store drops no server that is alive.
 */
export const minOutageMs = 2000;

/** Number of complete loads from which the time of the next one is estimated. */
export const maxLoadSamples = 8;

/** Time after a store outage within which servers that the store dropped are back, as the platform specifies, in milliseconds. */
export const returnWindowMs = 2000;

/** Time for which a server is avoided after a broken connection or a missing answer, in milliseconds. */
export const suspicionMs = 1000;

/** Time after which a want expires unless a request repeats it, in milliseconds. */
export const wantLifetimeMs = 500;

/**
 * Time without a report from the agent or bytes from the engine after which other servers are preferred, in milliseconds:
 * three reports were lost.
 */
export const silenceTimeoutMs = 700;

/** Maximum time for which a server may turn requests away, in milliseconds. Longer ones are taken as this. */
export const maxServerSuspensionMs = 600_000;

/**
 * Maximum number of servers whose statements of themselves are remembered, listed or not. It exceeds the largest fleet, so
 * only servers that were replaced long ago are forgotten.
 */
export const maxRememberedServers = 16_384;

/** Time over which the entries spread their first requests to a server that takes them again, in milliseconds. */
export const resumptionSpreadMs = 300;

/** Time after a suspension in which an entry sends to the server at a limited rate, in milliseconds. */
export const resumptionRampMs = 1000;

/** Interval between two requests of one entry during that time, in milliseconds. */
export const resumptionIntervalMs = 100;

/**
 * Time from when a server last said that it is leaving until a row that says that it is cold counts as a new start, in
 * milliseconds: it serves for 2 s more, and rows from before may be written late.
 */
export const minReturnMs = 4000;

/**
 * Time from when a server without a known start last said that it is leaving until its row, which has vanished and returned
 * since, counts as a new start, in milliseconds. No server takes that long to leave.
 */
export const maxLeavingMs = 60_000;

/** Time for which the state of a server is kept after its row is gone, in milliseconds, as the row may come back. */
export const stateRetentionMs = 10_000;

/**
 * Maximum age of a notice that a server is taken away when it is read, in milliseconds: the interval of reads of the list
 * and the time until other entries of the zone have it.
 */
export const maxNoticeAgeMs = 1000;

/** Interval at which requests at servers that are taken away are looked at, in milliseconds. Two seconds' notice has forty. */
export const departureCheckMs = 50;

/**
 * Time before a server may be gone at which its last request moves, in milliseconds: one check, a slow turn of the event
 * loop of a small host, and the way to the server.
 */
export const moveMarginMs = 250;

/** Share of a second's requests to a server with a limit that may ask for a permission at once. */
export const maxLimitAskShare = 0.25;

/** Time after which a request looks again whether it may ask for a permission, while others ask, in milliseconds. */
export const limitAskDelayMs = 20;
