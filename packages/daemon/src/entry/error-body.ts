import {httpStatusOf, type Refusal, type RefusalCode} from '@balsamtray/core';

/** Body of an error in the OpenAI format, with additional fields of balsamtray. */
export type ErrorBody = {
	readonly error: {
		readonly message: string;
		readonly type: string;
		readonly code: RefusalCode;
		readonly reason: string;
		/** True only if the request certainly did not reach a backend server. */
		readonly not_run: boolean;
		readonly step: string;
		readonly peer: string;
		readonly request_id: string;
		/** Absent if a retry can't succeed. */
		readonly retry_after_ms?: number;
	};
};

/** HTTP response for a refusal. */
export type ErrorResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: ErrorBody;
};

/** Response header with the request's identifier. */
export const requestIdHeader = 'x-request-id';

/** Builds the HTTP response for a refusal. */
export function errorResponse(
	refusal: Refusal,
	requestId: string,
): ErrorResponse {
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

/** Builds the response body for a refusal. */
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

/** Rounds up to whole seconds, at least 1, as `Retry-After` needs. */
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
