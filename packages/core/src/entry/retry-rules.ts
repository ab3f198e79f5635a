import type {RefusalCode} from '../refusal/types.js';
import {maxAttempts, maxFailedRuns} from './constants.js';
import type {RequestState} from './request-state.js';

/** Refusals that depend on the server, so that another server may accept the request. */
const serverSpecificCodes: ReadonlySet<RefusalCode> = new Set([
	'configuration_unavailable',
	'no_server',
	'server_leaving',
	'zone_out',
	'overloaded',
	'deadline_unreachable',
	'load_failed',
	'backend_failed',
	'answer_cut',
	'answer_mismatch',
	'shutting_down',
]);

/** Returns whether the request may be retried on another server. Doesn't check the retry budget. */
export function canRetryElsewhere(
	state: RequestState,
	code: RefusalCode,
): boolean {
	return (
		serverSpecificCodes.has(code) &&
		state.canRunAgain &&
		state.attempts < maxAttempts &&
		state.failedRuns < maxFailedRuns
	);
}
