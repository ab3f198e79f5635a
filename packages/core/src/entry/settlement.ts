import type {Usage} from '../agent/types.js';
import type {RequestState} from './request-state.js';
import type {EntryCommand, RecordedOutcome} from './types.js';

/** Gives back tokens of a request that did not run, or the rest of one that ran. Tokens of an unknown run stay spent. */
export function settleTokens(
	state: RequestState,
	usage?: Usage,
): readonly EntryCommand[] {
	const unused = unusedTokens(state, usage);
	if (unused <= 0 || state.account === undefined) {
		return [];
	}

	return [
		{
			type: 'returnTokens',
			requestId: state.id,
			customer: state.account,
			tokens: unused,
		},
	];
}

/** Frees the claim of a call that surely did not run, and records the outcome of any other. */
export function settleClaim(
	state: RequestState,
	outcome: RecordedOutcome,
): readonly EntryCommand[] {
	const {account} = state;
	const {requestId, idempotencyKey} = state.request;
	if (
		!state.hasClaim ||
		account === undefined ||
		idempotencyKey === undefined
	) {
		return [];
	}

	const claim = {
		requestId,
		customer: account,
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

	// A call of a service costs the same whatever it does.
	if (
		usage === undefined ||
		state.admission?.resolved.backend.kind !== 'engine'
	) {
		return 0;
	}

	return reserved - usage.promptTokens - usage.completionTokens;
}
