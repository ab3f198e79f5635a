import {z} from 'zod';

const count = z.number().int().nonnegative();

/** One request that an engine or plain service ran or began to run. */
export const ranRequestSchema = z.object({
	requestId: z.string(),
	/** Served name of the adapter version, or the path of a plain service's call. */
	servedName: z.string(),
	bootId: z.string(),
	/** Text after `ref=` in the body. */
	ref: z.string().optional(),
	/** Milliseconds since the epoch. */
	beganAt: z.number(),
});

/** What an engine or plain service saw, for tests. Kept over its crashes. */
export const backendRecordSchema = z.object({
	requests: z.array(ranRequestSchema),
	/** Requests begun for each text after `ref=` in a body. */
	runsByRef: z.record(z.string(), count),
	/** Requests begun for each request identifier. */
	runsByRequestId: z.record(z.string(), count),
	completed: count,
	cancelled: count,
	mostAtOnce: count,
	/** Requests whose headers or body held a caller's key. */
	keysSeen: count,
	crashes: count,
	loads: count,
	failedLoads: count,
	unloads: count,
	/** Adapters that were unloaded while a request ran on them. */
	evictionsInUse: count,
	/** Requests that a cold engine was given beyond what it bore. */
	overruns: count,
	/** Orders refused for an old fencing number. */
	fencedOrders: count,
	/** Priorities with which requests came. */
	priorities: z.array(z.number()),
});

export type RanRequest = Readonly<z.infer<typeof ranRequestSchema>>;
export type BackendRecord = Readonly<z.infer<typeof backendRecordSchema>>;
