import type {Dispatch} from '../agent/types.js';
import type {Admission} from './authorize.js';
import {deadlineMarginShare, maxDeadlineMarginMs} from './constants.js';
import type {EntryRequest} from './types.js';

/** Fields of a dispatch that don't come from the request. */
export type DispatchDetails = {
	readonly attemptId: string;
	readonly entryId: string;
	readonly configVersion: number;
	readonly now: number;
};

/** Builds the dispatch of a request. The dispatch holds the ID of the key, never the key. */
export function buildDispatch(
	request: EntryRequest,
	{resolved, customer, keyId}: Admission,
	{attemptId, entryId, configVersion, now}: DispatchDetails,
): Dispatch {
	const {route, target, isRepeatable, promptTokens, maxTokens} = resolved;
	return {
		attemptId,
		requestId: request.requestId,
		entryId,
		configVersion,
		customer: customer.name,
		weight: customer.weight,
		...(keyId === undefined ? {} : {keyId}),
		...(route === undefined ? {} : {route: route.name}),
		target,
		isRepeatable,
		promptTokens,
		maxTokens,
		timeLeftMs: agentTimeLeftMs(request.deadlineAt - now),
		fingerprint: request.bodyDigest,
		...(request.traceparent === undefined
			? {}
			: {traceparent: request.traceparent}),
	};
}

/** Subtracts a margin from the remaining time, so that a refusal by the agent arrives before the deadline. */
function agentTimeLeftMs(timeLeftMs: number): number {
	const margin = Math.min(
		maxDeadlineMarginMs,
		timeLeftMs * deadlineMarginShare,
	);
	return Math.max(0, Math.floor(timeLeftMs - margin));
}
