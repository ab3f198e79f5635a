import type {TokenCounters} from './token-counters.js';
import type {WaitingRequest} from './waiting-request.js';

/** 0 if the request can still be within its target, 1 if within its deadline, 2 if neither. */
export function lateness(
	{targetAt = Number.POSITIVE_INFINITY, deadlineAt}: WaitingRequest,
	now: number,
): 0 | 1 | 2 {
	if (now > deadlineAt) {
		return 2;
	}

	return now > targetAt ? 1 : 0;
}

/**
 * Negative if `a` goes before `b`: by priority, then by what can still be in time, then by the customer with the fewest
 * tokens for its weight, then by arrival.
 */
export function compareWaits(
	a: WaitingRequest,
	b: WaitingRequest,
	counters: Pick<TokenCounters, 'counter'>,
	now: number,
): number {
	return (
		a.priority - b.priority ||
		lateness(a, now) - lateness(b, now) ||
		(a.customer === b.customer
			? 0
			: counters.counter(a.customer) - counters.counter(b.customer)) ||
		a.arrivedAt - b.arrivedAt
	);
}
