import {WaitLine} from './wait-line.js';
import type {WaitingRequest} from './waiting-request.js';

/** Bound on the requests of a group that are still worth a try. */
export type GroupBound<R> = (request: R) => boolean;

/** Requests that wait for the same servers, so that they differ only in their size and in their limits. */
export class WaitGroup<R extends WaitingRequest> {
	static create<R extends WaitingRequest>(
		key: string,
		{service, adapter}: WaitingRequest,
	): WaitGroup<R> {
		return new WaitGroup<R>(key, service, adapter);
	}

	/** By customer and priority. */
	private readonly _lines = new Map<string, WaitLine<R>>();
	private readonly _requests = new Set<R>();

	private constructor(
		readonly key: string,
		readonly service: string,
		readonly adapter: string | undefined,
	) {}

	get requests(): ReadonlySet<R> {
		return this._requests;
	}

	add(request: R): void {
		this._requests.add(request);
		const key = lineKey(request);
		const line = this._lines.get(key) ?? WaitLine.create<R>();
		line.add(request);
		this._lines.set(key, line);
	}

	/** Removes a request and returns whether it was in the group. */
	delete(request: R): boolean {
		if (!this._requests.delete(request)) {
			return false;
		}

		const key = lineKey(request);
		const line = this._lines.get(key)!;
		line.delete(request);
		if (line.size === 0) {
			this._lines.delete(key);
		}

		return true;
	}

	/**
	 * Returns the first request among those that are worth a try.
	 *
	 * @param compare the order of requests of different customers or priorities
	 */
	first(
		isWorthTry: GroupBound<R>,
		compare: (a: R, b: R) => number,
		now: number,
	): R | undefined {
		let first: R | undefined;
		for (const line of this._lines.values()) {
			const next = line.first(isWorthTry, now);
			if (
				next !== undefined &&
				(first === undefined || compare(next, first) < 0)
			) {
				first = next;
			}
		}

		return first;
	}

	/** Returns the request that has waited longest among those that are worth a try. */
	oldest(isWorthTry: GroupBound<R>): R | undefined {
		let oldest: R | undefined;
		for (const line of this._lines.values()) {
			const next = line.oldest(isWorthTry);
			if (
				next !== undefined &&
				(oldest === undefined || next.arrivedAt < oldest.arrivedAt)
			) {
				oldest = next;
			}
		}

		return oldest;
	}

	/** Returns the request with the most ease among those that are worth a try. */
	easiest(
		isWorthTry: GroupBound<R>,
		ease: (request: R) => number,
	): R | undefined {
		let easiest: R | undefined;
		for (const request of this._requests) {
			if (
				isWorthTry(request) &&
				(easiest === undefined || ease(request) > ease(easiest))
			) {
				easiest = request;
			}
		}

		return easiest;
	}
}

function lineKey({priority, customer}: WaitingRequest): string {
	return `${priority}|${customer}`;
}

export function groupKey({
	service,
	model,
	adapter,
	restriction,
}: Pick<
	WaitingRequest,
	'service' | 'model' | 'adapter' | 'restriction'
>): string {
	return `${service}|${adapter ?? model ?? ''}|${restriction}`;
}

/** Which requests of a group are still worth a try once one of them found no server. */
export type EasierRequests<R> = {
	readonly isWorthTry: GroupBound<R>;
	/** The request with the most finds a server if any of the group does. */
	readonly ease: (request: R) => number;
};

/**
 * Returns which requests of its group a request that found no server leaves worth a try: those that need less memory, that
 * may wait longer for their prompt, or, at plain services, for their answer. Undefined if there are none, as servers are
 * missing for all alike.
 */
export function easierAfter<R extends WaitingRequest>(
	failed: R,
): EasierRequests<R> | undefined {
	if (failed.cause !== 'promptQueue' && failed.cause !== 'full') {
		return undefined;
	}

	const ease: (request: R) => number =
		failed.cause === 'full' && failed.model !== undefined
			? ({tokens}) => -tokens
			: ({deadlineAt}) => deadlineAt;
	const bound = ease(failed);
	return {ease, isWorthTry: request => ease(request) > bound};
}
