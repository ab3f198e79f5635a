/**
 * Faults that a stand-in causes. Each stand-in takes them at `PUT /faults` and starts without any.
 */
export type FaultSwitches = {
	/** Milliseconds added before each answer. */
	readonly delayMs?: number;
	/** Share of calls, 0 to 1, that get an error and take no effect. */
	readonly errorShare?: number;
	/** Share of calls, 0 to 1, that take effect and whose answer is then lost (the connection is cut). */
	readonly loseAnswerShare?: number;
	/** Calls are accepted and get no answer until the switch is turned off. */
	readonly isFrozen?: boolean;
	/** All calls are refused with 503. */
	readonly isDown?: boolean;
};
