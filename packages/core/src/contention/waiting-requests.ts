import {
	longestWaitPlaceShare,
	maxOrderedTries,
	waitProbeIntervalMs,
} from './constants.js';
import {compareWaits} from './compare-waits.js';
import {TokenCounters} from './token-counters.js';
import {
	easierAfter,
	groupKey,
	WaitGroup,
	type GroupBound,
} from './wait-group.js';
import type {
	ServerOffer,
	WaitEvent,
	WaitingRequest,
} from './waiting-request.js';

/** Credit of the request that has waited longest for each place that another one took. */
const creditPerPlace = longestWaitPlaceShare / (1 - longestWaitPlaceShare);

type Candidate<R extends WaitingRequest> = {
	readonly group: WaitGroup<R>;
	readonly isWorthTry: GroupBound<R>;
	readonly first: R;
	/** Number of requests of the group that found no server. */
	readonly failures: number;
};

/** Looks for a server for a request. Returns the request as it waits again; undefined if it no longer waits. */
export type Try<R> = (request: R) => R | undefined;

/**
 * Requests that wait at an entry, in groups by what they wait for. An event wakes only groups that it can help: it tries
 * their requests in order until as many proceed as there is room for, or the next one finds no server. Its cost does not
 * depend on the number of requests in other groups.
 *
 * The order is that of `compareWaits`; besides, `longestWaitPlaceShare` of the places goes to the request that has waited
 * longest.
 */
export class WaitingRequests<R extends WaitingRequest> {
	static create<R extends WaitingRequest>(): WaitingRequests<R> {
		return new WaitingRequests<R>();
	}

	private readonly _groups = new Map<string, WaitGroup<R>>();
	private readonly _byAdapter = new Map<string, Set<WaitGroup<R>>>();
	/** Groups of requests without an adapter, by service. */
	private readonly _byService = new Map<string, Set<WaitGroup<R>>>();
	/** Time of each group's next try without an event. The earliest comes first, as all have the same interval. */
	private readonly _probeAt = new Map<WaitGroup<R>, number>();
	/** Times at which groups are to be tried that wait for a time. */
	private readonly _wakeAt = new Map<WaitGroup<R>, number>();
	private readonly _counters = TokenCounters.create();
	/** Places that the request that has waited longest may take ahead of its turn. */
	private _longestWaitCredit = 0;
	private _size = 0;

	private constructor() {}

	get size(): number {
		return this._size;
	}

	/** Number of requests that wait for the adapter, or for a place where it is loaded. */
	countFor(adapter: string): number {
		let count = 0;
		for (const {requests} of this._byAdapter.get(adapter) ?? []) {
			count += requests.size;
		}

		return count;
	}

	/**
	 * Returns what a new request has to wait for, since others wait for the same that it must not overtake. Undefined if none
	 * does.
	 */
	causeAhead(
		request: Parameters<typeof groupKey>[0],
	): 'awaitAdapter' | 'full' | undefined {
		const group = this._groups.get(groupKey(request));
		for (const {cause} of group?.requests ?? []) {
			if (cause === 'awaitAdapter' || cause === 'full') {
				return cause;
			}
		}

		return undefined;
	}

	add(request: R, now: number): void {
		const key = groupKey(request);
		const group = this._groups.get(key) ?? this._addGroup(key, request, now);
		if (!group.requests.has(request)) {
			group.add(request);
			this._size++;
			this._counters.enter(request.customer, request.weight);
		}
	}

	/** Removes a request and returns whether it was waiting. */
	remove(request: R): boolean {
		const group = this._groups.get(groupKey(request));
		if (!group?.delete(request)) {
			return false;
		}

		this._size--;
		this._counters.leave(request.customer);
		if (group.requests.size === 0) {
			this._removeGroup(group);
		}

		if (this._size === 0) {
			this._longestWaitCredit = 0;
		}

		return true;
	}

	/** Whether the request waits. */
	has(request: R): boolean {
		return this._groups.get(groupKey(request))?.requests.has(request) ?? false;
	}

	/** Charges a customer for a request that was sent without waiting, while others of the customer wait. */
	noteSent(customer: string, tokens: number): void {
		this._counters.charge(customer, tokens);
	}

	/** Sets a time at which the request and those that wait for the same are tried. */
	wakeAt(request: R, at: number): void {
		const group = this._groups.get(groupKey(request));
		if (group !== undefined) {
			this._wakeAt.set(
				group,
				Math.min(at, this._wakeAt.get(group) ?? Number.POSITIVE_INFINITY),
			);
		}
	}

	/** Time of the next `due` event; undefined if no request waits. */
	nextDueAt(): number | undefined {
		const [probeAt] = this._probeAt.values();
		return probeAt === undefined
			? undefined
			: Math.min(probeAt, ...this._wakeAt.values());
	}

	/** Wakes the requests that the event can help, and returns the number of tries. */
	wake(event: WaitEvent<R>, tryRequest: Try<R>, now: number): number {
		const groups = this._groupsOf(event, now);
		if (event.kind === 'arrivals') {
			// Those that arrived for different servers don't compete.
			return groups.reduce(
				(tries, group) =>
					tries +
					this._tryInOrder([group], Number.POSITIVE_INFINITY, tryRequest, now),
				0,
			);
		}

		const room =
			event.kind === 'offer' ? event.offer.room : Number.POSITIVE_INFINITY;
		return this._tryInOrder(groups, room, tryRequest, now);
	}

	/** Tries all requests in order, as their permissions may have changed. */
	wakeEach(tryRequest: Try<R>, now: number): void {
		const all = [...this._groups.values()].flatMap(({requests}) => [
			...requests,
		]);
		for (const request of all.toSorted((a, b) => this._compare(a, b, now))) {
			if (this.has(request)) {
				this._try(request, tryRequest);
			}
		}
	}

	private _groupsOf(event: WaitEvent<R>, now: number): Array<WaitGroup<R>> {
		switch (event.kind) {
			case 'arrivals': {
				const groups = event.requests.map(request =>
					this._groups.get(groupKey(request)),
				);
				return [...new Set(groups)].filter(group => group !== undefined);
			}

			case 'offer': {
				return this._offered(event.offer);
			}

			case 'all': {
				return [...this._groups.values()];
			}

			case 'due': {
				return this._takeDue(now);
			}
		}
	}

	private _offered({
		service,
		adapters,
		room,
	}: ServerOffer): Array<WaitGroup<R>> {
		if (room <= 0) {
			return [];
		}

		const groups = [...(this._byService.get(service) ?? [])];
		for (const adapter of adapters) {
			for (const group of this._byAdapter.get(adapter) ?? []) {
				if (group.service === service) {
					groups.push(group);
				}
			}
		}

		return groups;
	}

	private _takeDue(now: number): Array<WaitGroup<R>> {
		const due = new Set<WaitGroup<R>>();
		for (const [group, at] of this._wakeAt) {
			if (at <= now) {
				this._wakeAt.delete(group);
				due.add(group);
			}
		}

		for (const [group, at] of this._probeAt) {
			if (at > now) {
				break;
			}

			due.add(group);
			this._probeAt.delete(group);
			this._probeAt.set(group, now + waitProbeIntervalMs);
		}

		return [...due];
	}

	private _tryInOrder(
		groups: ReadonlyArray<WaitGroup<R>>,
		room: number,
		tryRequest: Try<R>,
		now: number,
	): number {
		let candidates = groups.flatMap(
			group => this._candidate(group, () => true, 0, now) ?? [],
		);
		this._sort(candidates, now);
		let tries = 0;
		let left = room;
		while (left > 0) {
			const candidate = this._takeNext(candidates);
			if (candidate === undefined) {
				break;
			}

			const {first} = candidate;
			tries++;
			const isByLongestWait = this._longestWaitCredit >= 1;
			const waiting = this._try(first, tryRequest);
			if (waiting === undefined) {
				left--;
				this._longestWaitCredit = isByLongestWait
					? 0
					: Math.min(1, this._longestWaitCredit + creditPerPlace);
				// The customer was charged, which may change the order in every group.
				candidates = [...candidates, candidate].flatMap(
					({group, isWorthTry, failures}) =>
						this._candidate(group, isWorthTry, failures, now) ?? [],
				);
				this._sort(candidates, now);
				continue;
			}

			const next = this._candidateAfter(candidate, waiting, now);
			if (next !== undefined) {
				candidates.push(next);
				this._sort(candidates, now);
			}
		}

		return tries;
	}

	/** Takes the request that has waited longest out of the candidates if it has the credit for a place, or else the first. */
	private _takeNext(candidates: Array<Candidate<R>>): Candidate<R> | undefined {
		if (this._longestWaitCredit < 1) {
			return candidates.shift();
		}

		let oldest: {readonly index: number; readonly first: R} | undefined;
		for (const [index, {group, isWorthTry}] of candidates.entries()) {
			const first = group.oldest(isWorthTry);
			if (
				first !== undefined &&
				(oldest === undefined || first.arrivedAt < oldest.first.arrivedAt)
			) {
				oldest = {index, first};
			}
		}

		if (oldest === undefined) {
			return candidates.shift();
		}

		const [candidate] = candidates.splice(oldest.index, 1);
		return {...candidate!, first: oldest.first};
	}

	/** Keeps the customer's account while the request is tried, as an account that is left idle may lose its credit. */
	private _try(request: R, tryRequest: Try<R>): R | undefined {
		const {customer, weight, tokens} = request;
		this._counters.enter(customer, weight);
		this.remove(request);
		const waiting = tryRequest(request);
		if (waiting === undefined) {
			this._counters.charge(customer, tokens);
		}

		this._counters.leave(customer);
		return waiting;
	}

	private _candidate(
		group: WaitGroup<R>,
		isWorthTry: GroupBound<R>,
		failures: number,
		now: number,
	): Candidate<R> | undefined {
		const first = group.first(
			isWorthTry,
			(a, b) => this._compare(a, b, now),
			now,
		);
		return first && {group, isWorthTry, first, failures};
	}

	/**
	 * Returns the request of a group that is tried after one that found no server. After a few in their order, it is the one
	 * that finds a server if any of them does, so that the tries do not grow with the group.
	 */
	private _candidateAfter(
		{group, failures}: Candidate<R>,
		failed: R,
		now: number,
	): Candidate<R> | undefined {
		const easier = easierAfter(failed);
		if (easier === undefined || failures > maxOrderedTries) {
			return undefined;
		}

		const {ease, isWorthTry} = easier;
		if (failed.model !== undefined && failures < maxOrderedTries) {
			return this._candidate(group, isWorthTry, failures + 1, now);
		}

		const first = group.easiest(isWorthTry, ease);
		return first && {group, isWorthTry, first, failures: maxOrderedTries + 1};
	}

	private _sort(candidates: Array<Candidate<R>>, now: number): void {
		candidates.sort((a, b) => this._compare(a.first, b.first, now));
	}

	private _compare(a: R, b: R, now: number): number {
		return compareWaits(a, b, this._counters, now);
	}

	private _addGroup(key: string, request: R, now: number): WaitGroup<R> {
		const group = WaitGroup.create<R>(key, request);
		this._groups.set(key, group);
		this._probeAt.set(group, now + waitProbeIntervalMs);
		const [index, indexKey] = this._indexOf(group);
		const indexed = index.get(indexKey) ?? new Set();
		index.set(indexKey, indexed.add(group));
		return group;
	}

	private _removeGroup(group: WaitGroup<R>): void {
		this._groups.delete(group.key);
		this._probeAt.delete(group);
		this._wakeAt.delete(group);
		const [index, indexKey] = this._indexOf(group);
		const indexed = index.get(indexKey);
		indexed?.delete(group);
		if (indexed?.size === 0) {
			index.delete(indexKey);
		}
	}

	private _indexOf({
		service,
		adapter,
	}: WaitGroup<R>): [Map<string, Set<WaitGroup<R>>>, string] {
		return adapter === undefined
			? [this._byService, service]
			: [this._byAdapter, adapter];
	}
}
