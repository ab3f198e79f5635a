/** Step of request processing at which an error or refusal arose. */
export type RequestStep =
	| 'accept'
	| 'authorize'
	| 'rate'
	| 'claim'
	| 'route'
	| 'dispatch'
	| 'admit'
	| 'queue'
	| 'load'
	| 'backend'
	| 'answer'
	| 'store';

/** Code of a refusal. It is also a tag of the refusal counters and the `code` in the error body. */
export type RefusalCode =
	| 'invalid_request'
	| 'body_too_large'
	| 'method_not_allowed'
	| 'unknown_route'
	| 'unknown_model'
	| 'unauthorized'
	| 'forbidden'
	| 'rate_exceeded'
	| 'exceeds_burst'
	| 'idempotency_key_required'
	| 'idempotency_mismatch'
	| 'in_progress'
	| 'outcome_unknown'
	| 'store_unavailable'
	| 'configuration_behind'
	| 'configuration_unavailable'
	| 'no_server'
	| 'server_leaving'
	| 'zone_out'
	| 'overloaded'
	| 'deadline_unreachable'
	| 'deadline_exceeded'
	| 'quarantined'
	| 'load_failed'
	| 'backend_failed'
	| 'answer_cut'
	| 'answer_mismatch'
	| 'shutting_down'
	| 'cancelled';

/** Why a request got no answer. Callers, logs and counters use the same form. */
export type Refusal = {
	readonly code: RefusalCode;
	/** One plain sentence for the caller. Never holds a key, an address or a stack trace. */
	readonly message: string;
	/** True only if the request is known not to have reached a backend server. */
	readonly notRun: boolean;
	readonly step: RequestStep;
	/** ID of the process or backend server at which the refusal arose. */
	readonly peer: string;
	/** Milliseconds after which a retry makes sense. Absent if a retry can't help. */
	readonly retryAfterMs?: number;
};
