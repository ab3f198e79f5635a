import type {Refusal, RefusalCode, Step} from './types.js';

/** Origin of a refusal and its optional message and retry time. */
export type RefusalDetails = {
	readonly step: Step;
	readonly peer: string;
	readonly message?: string;
	readonly retryAfterMs?: number | undefined;
};

// Codes keep the snake case of the API.

const defaultMessages: Readonly<Record<RefusalCode, string>> = {
	invalid_request: 'The request is malformed.',
	body_too_large: 'The body is larger than the limit.',
	method_not_allowed: 'The path does not allow this method.',
	unknown_route: 'The route does not exist.',
	unknown_model: 'The model does not exist.',
	unauthorized: 'The key is missing, unknown or withdrawn.',
	forbidden: 'The key has no access to this model or route.',
	rate_exceeded: 'The rate limit of the customer is exceeded.',
	exceeds_burst: 'The request needs more tokens than the burst allows.',
	idempotency_key_required:
		'The call is not repeatable and needs an Idempotency-Key.',
	idempotency_mismatch:
		'The Idempotency-Key was used before with another request.',
	in_progress: 'A call with this Idempotency-Key is in progress.',
	outcome_unknown:
		'The call may have run; its outcome is unknown and it is not repeated.',
	store_unavailable:
		'The Idempotency-Key could not be claimed: the store is unavailable.',
	configuration_behind: 'The configuration of this host is out of date.',
	configuration_unavailable: 'This host has no configuration yet.',
	no_server: 'No backend server can run the request.',
	server_leaving: 'The backend server is leaving.',
	zone_out: 'The availability zone is out of service.',
	overloaded: 'The backend servers are overloaded.',
	deadline_unreachable: 'The answer could not start before the deadline.',
	deadline_exceeded: 'The answer did not start before the deadline.',
	quarantined:
		'Several backend servers crashed while running an identical request.',
	load_failed: 'The adapter could not be loaded.',
	backend_failed: 'The backend server failed.',
	answer_cut: 'The answer ended before it was complete.',
	answer_mismatch: 'The backend server sent the answer of another request.',
	shutting_down: 'This host is shutting down.',
	cancelled: 'The caller closed the connection.',
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
