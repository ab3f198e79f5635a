import {z} from 'zod';

const count = z.number().int().nonnegative();

/** One request that an engine or plain service started. */
export const recordedRequestSchema = z.object({
	requestId: z.string(),
	/** Served name of the adapter version, or the URL path of a request to a plain service. */
	servedName: z.string(),
	bootId: z.string(),
	/** Text after `ref=` in the body. */
	ref: z.string().optional(),
	/** Milliseconds since the epoch. */
	beganAt: z.number(),
});

/** Requests and events of an engine or plain service, recorded for tests. Crashes and restarts don't clear the record. */
export const backendRecordSchema = z.object({
	requests: z.array(recordedRequestSchema),
	/** Number of requests started for each text after `ref=` in a body. */
	runsByRef: z.record(z.string(), count),
	/** Number of requests started for each request identifier. */
	runsByRequestId: z.record(z.string(), count),
	completed: count,
	cancelled: count,
	/** Maximum number of concurrent requests. */
	mostAtOnce: count,
	/** Requests whose URL, headers or body contained a caller's API key. */
	keysSeen: count,
	crashes: count,
	loads: count,
	failedLoads: count,
	unloads: count,
	/** Number of unloads of an adapter while a request ran on it. */
	evictionsInUse: count,
	/** Requests that a cold engine received above its concurrency limit. */
	overruns: count,
	/** Loads and unloads refused because of a stale fencing token. */
	fencedOrders: count,
	/** Priorities of the first requests, in order of arrival. */
	priorities: z.array(z.number()),
});

export type RecordedRequest = Readonly<z.infer<typeof recordedRequestSchema>>;
export type BackendRecord = Readonly<z.infer<typeof backendRecordSchema>>;
