import type {AgentHost} from '../membership/types.js';
import {refuseNotRun} from '../refusal/refusals.js';
import type {Refusal} from '../refusal/types.js';
import type {RoutingChoice} from '../routing/types.js';
import type {Admission} from './authorize.js';
import {type EntryContext, refuseForNow} from './entry-context.js';
import type {RequestState} from './request-state.js';

/** Where a request goes. */
export type RouteDecision =
	| {readonly kind: 'server'; readonly host: AgentHost}
	/** Every server that is left runs another suspect: the request waits for one of them to end. */
	| {readonly kind: 'wait'}
	| {readonly kind: 'refused'; readonly refusal: Refusal};

/** Decides where a request goes under the present configuration and load. */
export function routeRequest(
	context: EntryContext,
	state: RequestState,
	admission: Admission,
	now: number,
): RouteDecision {
	const {entryId, suspects} = context;
	const forMs = suspects.quarantinedForMs(state.request.bodyDigest, now);
	if (forMs > 0) {
		const details = {
			step: 'route',
			peer: entryId,
			retryAfterMs: forMs,
		} as const;
		return {kind: 'refused', refusal: refuseNotRun('quarantined', details)};
	}

	const suspectServers = context.requests.suspectServers();
	const isKeptApart = state.isSuspect && suspectServers.size > 0;
	const tried = state.triedServers;
	const avoid = isKeptApart ? new Set([...tried, ...suspectServers]) : tried;
	const {subject, backend} = admission.resolved;
	const timeLeftMs = state.request.deadlineAt - now;
	const customer = admission.customer.name;
	const query = {subject, backend, customer, avoid, timeLeftMs};
	const choice = context.router.choose(query, now);
	if (choice.kind === 'server') {
		return choice;
	}

	const shared = {...query, avoid: tried};
	if (isKeptApart && context.router.choose(shared, now).kind === 'server') {
		return {kind: 'wait'};
	}

	return {kind: 'refused', refusal: refusalOf(context, state, choice)};
}

function refusalOf(
	context: EntryContext,
	{lastRefusal}: RequestState,
	choice: Exclude<RoutingChoice, {kind: 'server'}>,
): Refusal {
	if (choice.kind === 'tooLate') {
		return refuseNotRun('deadline_unreachable', {
			step: 'route',
			peer: context.entryId,
			retryAfterMs: choice.retryAfterMs,
		});
	}

	return lastRefusal ?? refuseForNow(context, 'no_server', 'route');
}
