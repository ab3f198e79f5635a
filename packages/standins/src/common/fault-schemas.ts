import {z} from 'zod';

const count = z.number().int().nonnegative().optional();
const milliseconds = z.number().nonnegative().optional();
const probability = z.number().min(0).max(1).optional();
const flag = z.boolean().optional();

/**
 * Faults that every stand-in can inject. They are set with `PUT /faults`; a stand-in starts without any.
 * `PUT /faults` replaces all switches at once.
 */
export const faultsSchema = z.strictObject({
	/** Delay before each request is handled, in milliseconds. */
	delayMs: milliseconds,
	/** Fraction of requests that are refused with 503 and take no effect. */
	errorShare: probability,
	/** Fraction of non-GET requests that take effect but lose their response, because the connection is closed first. */
	loseAnswerShare: probability,
	/** Number of upcoming non-GET requests that take effect but lose their response. */
	loseNextAnswers: count,
	/** Requests are accepted but get no response until the switch is turned off. */
	isFrozen: flag,
	/** All requests are refused with 503. */
	isDown: flag,
	/** Each request's connection is closed before the request takes effect. */
	isCut: flag,
});

/** Faults that a plain service can inject. */
export const serviceFaultsSchema = z.strictObject({
	...faultsSchema.shape,
	/** A request whose body contains this text crashes the backend server. */
	crashMarker: z.string().min(1).optional(),
	/** Number of upcoming responses that carry the identifier of an earlier request. */
	lateAnswers: count,
	/** Number of upcoming responses that are truncated by a closed connection. */
	cutAnswers: count,
});

/** Faults that an engine can inject. */
export const engineFaultsSchema = z.strictObject({
	...serviceFaultsSchema.shape,
	/** Number of upcoming pairs of running requests whose responses are swapped. */
	crossAnswers: count,
	/** Tokens after which a truncated response ends. With 0, it ends before any byte is sent. */
	cutAfterTokens: count,
	/** Number of upcoming adapter loads that fail. */
	failLoads: count,
	/** Fraction of adapter loads that fail. */
	loadErrorShare: probability,
	/** Additional duration of each adapter load, in milliseconds. */
	loadDelayMs: milliseconds,
});

/** Control order that a test sends to an engine or plain service with `POST /control`. */
export const controlOrderSchema = z.discriminatedUnion('order', [
	/** Refuses connections for a time, then runs again, without adapters and cold, with a new boot identifier. */
	z.strictObject({order: z.literal('crash'), downMs: milliseconds}),
	/** Restarts immediately, without adapters and cold, with a new boot identifier and without refusing connections. */
	z.strictObject({order: z.literal('restart')}),
	/** Makes an engine cold and slow, with its boot identifier unchanged. */
	z.strictObject({order: z.literal('goCold')}),
]);

export type FaultSwitches = Readonly<z.infer<typeof faultsSchema>>;
export type ServiceFaults = Readonly<z.infer<typeof serviceFaultsSchema>>;
export type EngineFaults = Readonly<z.infer<typeof engineFaultsSchema>>;
export type ControlOrder = Readonly<z.infer<typeof controlOrderSchema>>;
