/** Why a request or a connection of a caller is ended before it runs. */
export type IntakeRefusal = {
	readonly status: number;
	readonly reason: string;
	/** Whether the request is certain not to have run. */
	readonly isNotRun: boolean;
	readonly retryAfterMs?: number;
};

/** A request of a connection whose response is not written completely. */
export type ConnectionRequest = {
	/** Whether it is not read completely. */
	readonly isReading: boolean;
	/** Whether only the rest of its response has to be read by its caller. */
	readonly isEnded: boolean;
	/** Answers it with the refusal, and closes its connection after that if it is not read completely. */
	readonly refuse: (refusal: IntakeRefusal) => void;
};

/** Refusal of a request or connection that yields, since the memory for callers is used up. */
export function memoryUsedUp(retryAfterMs: number): IntakeRefusal {
	return {status: 503, reason: 'memoryUsedUp', isNotRun: true, retryAfterMs};
}

/** Refusal of a connection that yields, since as many are open as may be. */
export function connectionsUsedUp(retryAfterMs: number): IntakeRefusal {
	return {
		status: 503,
		reason: 'connectionsUsedUp',
		isNotRun: true,
		retryAfterMs,
	};
}
