import {defaultRetryAfterMs} from './constants.js';

/** Why a request gets no complete response, and the error response to send instead. */
export type CallRefusal = {
	readonly status: number;
	readonly reason: string;
	/** Whether the request is certain not to have run. */
	readonly isNotRun: boolean;
	readonly retryAfterMs?: number;
	/** The quarantined part of the prompt for which the request is refused. */
	readonly quarantinedPart?: string;
};

/** Refusal of a request that did not run and may be retried soon. */
export function unavailable(reason: string): CallRefusal {
	return {
		status: 503,
		reason,
		isNotRun: true,
		retryAfterMs: defaultRetryAfterMs,
	};
}

/** Refusal of a request that may have run. */
export function badGateway(reason: string): CallRefusal {
	return {status: 502, reason, isNotRun: false};
}
