import {lateness} from './compare-waits.js';
import type {WaitingRequest} from './waiting-request.js';

/** Waiting requests of one customer and priority, in order of arrival. Only what is late changes its place among them. */
export class WaitLine<R extends WaitingRequest> {
	static create<R extends WaitingRequest>(): WaitLine<R> {
		return new WaitLine<R>();
	}

	private readonly _requests: R[] = [];
	/** Time after which all that have been in the line are too late for their targets, and for their deadlines. */
	private _lastTargetAt = Number.NEGATIVE_INFINITY;
	private _lastDeadlineAt = Number.NEGATIVE_INFINITY;

	private constructor() {}

	get size(): number {
		return this._requests.length;
	}

	add(request: R): void {
		const {arrivedAt, deadlineAt} = request;
		const {targetAt = deadlineAt} = request;
		const inTimeUntil = Math.min(targetAt, deadlineAt);
		this._lastTargetAt = Math.max(this._lastTargetAt, inTimeUntil);
		this._lastDeadlineAt = Math.max(this._lastDeadlineAt, deadlineAt);
		let index = this._requests.length;
		while (index > 0 && this._requests[index - 1]!.arrivedAt > arrivedAt) {
			index--;
		}

		this._requests.splice(index, 0, request);
	}

	delete(request: R): void {
		const index = this._requests.indexOf(request);
		if (index !== -1) {
			this._requests.splice(index, 1);
		}
	}

	/** Returns the first request that is worth a try: what can still be in time goes first. */
	first(isWorthTry: (request: R) => boolean, now: number): R | undefined {
		const least = this._leastLateness(now);
		let first: R | undefined;
		let firstLateness = Number.POSITIVE_INFINITY;
		for (const request of this._requests) {
			if (!isWorthTry(request)) {
				continue;
			}

			const late = lateness(request, now);
			if (late <= least) {
				return request;
			}

			if (late < firstLateness) {
				first = request;
				firstLateness = late;
			}
		}

		return first;
	}

	/** Returns the request that has waited longest of those that are worth a try. */
	oldest(isWorthTry: (request: R) => boolean): R | undefined {
		return this._requests.find(request => isWorthTry(request));
	}

	/** Lateness that no request of the line is below. */
	private _leastLateness(now: number): number {
		if (now <= this._lastTargetAt) {
			return 0;
		}

		return now <= this._lastDeadlineAt ? 1 : 2;
	}
}
