import type {Usage} from '../agent/types.js';
import type {RequestState} from './request-state.js';
import type {EntryCommand, RecordedOutcome} from './types.js';

/**
 * Builds the command that returns tokens: all reserved ones if the request did not run, or the unused ones if its usage
 * is known. Tokens stay spent if the request may have run and its usage is unknown.
 */
export function settleTokens(
	state: RequestState,
	usage?: Usage,
): readonly EntryCommand[] {
	const unused = unusedTokens(state, usage);
	if (unused <= 0 || state.billedCustomer === undefined) {
		return [];
	}

	return [
		{
			type: 'returnTokens',
			requestId: state.id,
			customer: state.billedCustomer,
			tokens: unused,
		},
	];
}

/** Builds the command that releases the claim of a call that did not run, or records the outcome if it may have run. */
export function settleClaim(
	state: RequestState,
	outcome: RecordedOutcome,
): readonly EntryCommand[] {
	const {billedCustomer} = state;
	const {requestId, idempotencyKey} = state.request;
	if (
		!state.hasClaim ||
		billedCustomer === undefined ||
		idempotencyKey === undefined
	) {
		return [];
	}

	const claim = {
		requestId,
		customer: billedCustomer,
		idempotencyKey,
	};
	return state.mayHaveRun
		? [{type: 'recordOutcome', ...claim, outcome}]
		: [{type: 'releaseClaim', ...claim}];
}

function unusedTokens(state: RequestState, usage: Usage | undefined): number {
	const reserved = state.reservedTokens ?? 0;
	if (!state.mayHaveRun) {
		return reserved;
	}

	// A service call has a fixed cost.
	if (
		usage === undefined ||
		state.admission?.resolved.backend.kind !== 'engine'
	) {
		return 0;
	}

	return reserved - usage.promptTokens - usage.completionTokens;
}
