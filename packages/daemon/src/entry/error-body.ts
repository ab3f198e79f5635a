import {httpStatusOf, type Refusal, type RefusalCode} from '@balsamtray/core';

/** Body of an error, in the form that OpenAI clients expect, with what callers of balsamtray need besides. */
export type ErrorBody = {
	readonly error: {
		readonly message: string;
		readonly type: string;
		readonly code: RefusalCode;
		readonly reason: string;
		/** True only when the request surely reached no back end. */
		readonly not_run: boolean;
		readonly step: string;
		readonly peer: string;
		readonly request_id: string;
		/** Absent when a new try can't help. */
		readonly retry_after_ms?: number;
	};
};

/** An error as it goes to the caller. */
export type ErrorAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: ErrorBody;
};

/** Header that carries the request's identifier. */
export const requestIdHeader = 'x-request-id';

/** Builds the caller's view of a refusal. */
export function errorAnswer(refusal: Refusal, requestId: string): ErrorAnswer {
	const {retryAfterMs} = refusal;
	return {
		status: httpStatusOf(refusal.code),
		headers: {
			[requestIdHeader]: requestId,
			...(retryAfterMs === undefined
				? {}
				: {'retry-after': String(retryAfterSeconds(retryAfterMs))}),
		},
		body: errorBody(refusal, requestId),
	};
}

/** Builds the body of an error. */
export function errorBody(refusal: Refusal, requestId: string): ErrorBody {
	return {
		error: {
			message: refusal.message,
			type: typeOf(httpStatusOf(refusal.code)),
			code: refusal.code,
			reason: refusal.message,
			not_run: refusal.notRun,
			step: refusal.step,
			peer: refusal.peer,
			request_id: requestId,
			...(refusal.retryAfterMs === undefined
				? {}
				: {retry_after_ms: Math.ceil(refusal.retryAfterMs)}),
		},
	};
}

/** The header has whole seconds and no zero. */
function retryAfterSeconds(retryAfterMs: number): number {
	return Math.max(1, Math.ceil(retryAfterMs / 1000));
}

function typeOf(status: number): string {
	if (status === 401) {
		return 'authentication_error';
	}

	if (status === 403) {
		return 'permission_error';
	}

	if (status === 429) {
		return 'rate_limit_error';
	}

	return status < 500 ? 'invalid_request_error' : 'server_error';
}
