import type {AgentHost} from '../membership/types.js';
import {refuseNotRun} from '../refusal/refusals.js';
import type {Refusal} from '../refusal/types.js';
import type {RoutingChoice} from '../routing/types.js';
import type {Admission} from './authorize.js';
import {type EntryContext, refuseRetryable} from './entry-context.js';
import type {RequestState} from './request-state.js';

/** Result of `routeRequest`. */
export type RouteDecision =
	| {readonly kind: 'server'; readonly host: AgentHost}
	/** Every usable server runs another suspect. The request waits until one of those ends. */
	| {readonly kind: 'wait'}
	| {readonly kind: 'refused'; readonly refusal: Refusal};

/**
 * Chooses a server under the current configuration and load.
 * Refuses quarantined requests and runs each suspect on a server without another suspect.
 */
export function routeRequest(
	context: EntryContext,
	state: RequestState,
	admission: Admission,
	now: number,
): RouteDecision {
	const {entryId, suspects} = context;
	const quarantineLeftMs = suspects.quarantinedForMs(
		state.request.bodyDigest,
		now,
	);
	if (quarantineLeftMs > 0) {
		const details = {
			step: 'route',
			peer: entryId,
			retryAfterMs: quarantineLeftMs,
		} as const;
		return {kind: 'refused', refusal: refuseNotRun('quarantined', details)};
	}

	const suspectServers = context.requests.suspectServers();
	const isIsolated = state.isSuspect && suspectServers.size > 0;
	const tried = state.triedServers;
	const avoid = isIsolated ? new Set([...tried, ...suspectServers]) : tried;
	const {subject, backend} = admission.resolved;
	const timeLeftMs = state.request.deadlineAt - now;
	const customer = admission.customer.name;
	const query = {subject, backend, customer, avoid, timeLeftMs};
	const choice = context.router.choose(query, now);
	if (choice.kind === 'server') {
		return choice;
	}

	const relaxedQuery = {...query, avoid: tried};
	if (
		isIsolated &&
		context.router.choose(relaxedQuery, now).kind === 'server'
	) {
		return {kind: 'wait'};
	}

	return {kind: 'refused', refusal: buildRouteRefusal(context, state, choice)};
}

function buildRouteRefusal(
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

	return lastRefusal ?? refuseRetryable(context, 'no_server', 'route');
}
