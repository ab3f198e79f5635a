import {z} from 'zod';

const count = z.number().int().nonnegative().optional();
const milliseconds = z.number().nonnegative().optional();
const share = z.number().min(0).max(1).optional();
const flag = z.boolean().optional();

/**
 * Faults that every stand-in causes. Each stand-in takes them at `PUT /faults` and starts without any.
 * `PUT /faults` replaces all switches at once.
 */
export const faultsSchema = z.strictObject({
	/** Milliseconds added before each answer. */
	delayMs: milliseconds,
	/** Share of calls that get an error and take no effect. */
	errorShare: share,
	/** Share of writing calls that take effect and whose answer is then lost (the connection is cut). */
	loseAnswerShare: share,
	/** Number of writing calls, from now on, that take effect and whose answer is lost. */
	loseNextAnswers: count,
	/** Calls are accepted and get no answer until the switch is turned off. */
	isFrozen: flag,
	/** All calls are refused with 503. */
	isDown: flag,
	/** All connections are cut before the call takes effect. */
	isCut: flag,
});

/** Faults of a plain service. */
export const serviceFaultsSchema = z.strictObject({
	...faultsSchema.shape,
	/** A request whose body contains the text crashes the backend server. */
	crashMarker: z.string().min(1).optional(),
	/** Number of answers, from now on, that carry the identifier of an earlier request. */
	lateAnswers: count,
	/** Number of answers, from now on, that break off in the middle. */
	cutAnswers: count,
});

/** Faults of an engine. */
export const engineFaultsSchema = z.strictObject({
	...serviceFaultsSchema.shape,
	/** Number of pairs of running requests, from now on, that get each other's answers. */
	crossAnswers: count,
	/** Tokens after which a cut answer breaks off. */
	cutAfterTokens: count,
	/** Number of adapter loads, from now on, that fail. */
	failLoads: count,
	/** Share of adapter loads that fail. */
	loadErrorShare: share,
	/** Milliseconds added to each adapter load. */
	loadDelayMs: milliseconds,
});

/** Order that a test gives an engine or plain service at `POST /control`. */
export const controlOrderSchema = z.discriminatedUnion('order', [
	/** Refuses connections for a time, then comes back empty and cold with a new boot identifier. */
	z.strictObject({order: z.literal('crash'), downMs: milliseconds}),
	/** Loses its adapters and its warmth at once, with a new boot identifier and without refusing connections. */
	z.strictObject({order: z.literal('restart')}),
	/** Turns cold and slow while its boot identifier stays. */
	z.strictObject({order: z.literal('goCold')}),
]);

export type FaultSwitches = Readonly<z.infer<typeof faultsSchema>>;
export type ServiceFaults = Readonly<z.infer<typeof serviceFaultsSchema>>;
export type EngineFaults = Readonly<z.infer<typeof engineFaultsSchema>>;
export type ControlOrder = Readonly<z.infer<typeof controlOrderSchema>>;
