import type {RefusalCode} from './types.js';

// Codes keep the snake case of the API.

const statusOfCode: Readonly<Record<RefusalCode, number>> = {
	invalid_request: 400,
	body_too_large: 413,
	method_not_allowed: 405,
	unknown_route: 404,
	unknown_model: 404,
	unauthorized: 401,
	forbidden: 403,
	rate_exceeded: 429,
	exceeds_burst: 400,
	idempotency_key_required: 400,
	idempotency_mismatch: 422,
	in_progress: 409,
	outcome_unknown: 502,
	store_unavailable: 503,
	configuration_behind: 503,
	configuration_unavailable: 503,
	no_server: 503,
	server_leaving: 503,
	zone_out: 503,
	overloaded: 503,
	deadline_unreachable: 503,
	deadline_exceeded: 504,
	quarantined: 422,
	load_failed: 503,
	backend_failed: 502,
	answer_cut: 502,
	answer_mismatch: 502,
	shutting_down: 503,
	cancelled: 499,
};

/** Returns the HTTP status of a refusal. */
export function httpStatusOf(code: RefusalCode): number {
	return statusOfCode[code];
}

/** All codes, in the order of the generated documentation. */
// The keys of the record are the codes.
// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
export const refusalCodes = Object.keys(statusOfCode) as readonly RefusalCode[];
