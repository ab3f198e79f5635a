import type {Refusal, RefusalCode, RequestStep} from './types.js';

/** Origin of a refusal, and its optional message and retry delay. */
export type RefusalDetails = {
	readonly step: RequestStep;
	readonly peer: string;
	readonly message?: string;
	readonly retryAfterMs?: number | undefined;
};

// Codes keep the snake case of the API.

const defaultMessages: Readonly<Record<RefusalCode, string>> = {
	invalid_request: 'The request is malformed.',
	body_too_large: 'The body is larger than the limit.',
	method_not_allowed: 'The path does not take this method.',
	unknown_route: 'There is no such route.',
	unknown_model: 'There is no such model.',
	unauthorized: 'The key is missing, unknown or withdrawn.',
	forbidden: 'The key may not use this model or route.',
	rate_exceeded: 'The rate of the customer is used up.',
	exceeds_burst: 'The request needs more tokens than the burst allows.',
	idempotency_key_required:
		'The call may not be repeated: it needs an Idempotency-Key.',
	idempotency_mismatch:
		'The Idempotency-Key was used before with another request.',
	in_progress: 'A call with this Idempotency-Key is in progress.',
	outcome_unknown:
		'The call may have run; its outcome is unknown and it is not repeated.',
	store_unavailable: 'The call could not be claimed: the store is unavailable.',
	configuration_behind: 'The configuration of this host is behind.',
	configuration_unavailable: 'This host has no configuration yet.',
	no_server: 'No backend server can run the request.',
	server_leaving: 'The backend server is leaving.',
	zone_out: 'The availability zone is out of service.',
	overloaded: 'The backend servers are overloaded.',
	deadline_unreachable: 'The answer could not start before the deadline.',
	deadline_exceeded: 'The answer did not start before the deadline.',
	quarantined: 'Requests like this one stopped several backend servers.',
	load_failed: 'The adapter could not be loaded.',
	backend_failed: 'The backend server failed.',
	answer_cut: 'The answer broke off before its end.',
	answer_mismatch: 'The backend server sent the answer of another request.',
	shutting_down: 'This host is shutting down.',
	cancelled: 'The caller went away.',
};

/** Builds a refusal of a request that did not reach a backend server. */
export function refuseNotRun(
	code: RefusalCode,
	details: RefusalDetails,
): Refusal {
	return buildRefusal(code, true, details);
}

/** Builds a refusal of a request that may have reached a backend server. */
export function refuseMaybeRun(
	code: RefusalCode,
	details: RefusalDetails,
): Refusal {
	return buildRefusal(code, false, details);
}

function buildRefusal(
	code: RefusalCode,
	notRun: boolean,
	{step, peer, message, retryAfterMs}: RefusalDetails,
): Refusal {
	return {
		code,
		message: message ?? defaultMessages[code],
		notRun,
		step,
		peer,
		...(retryAfterMs === undefined ? {} : {retryAfterMs}),
	};
}
