import {retryAfterMs} from './constants.js';

/** Why a request gets no whole answer. */
export type CallRefusal = {
	readonly status: number;
	readonly reason: string;
	/** Whether the request surely did not run. */
	readonly isNotRun: boolean;
	readonly retryAfterMs?: number;
};

/** The request did not run, and may come back soon. */
export function unavailable(reason: string): CallRefusal {
	return {status: 503, reason, isNotRun: true, retryAfterMs};
}

/** The request may have run. */
export function broken(reason: string): CallRefusal {
	return {status: 502, reason, isNotRun: false};
}
