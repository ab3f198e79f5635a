import {
	defaultTurnWeight,
	longestWaitShare,
	turnGrantLifetimeMs,
	turnPlaceLifetimeMs,
} from './constants.js';
import {TokenCounters} from './token-counters.js';

/** Admits prompts to an engine at the rate at which it can prefill them. */
export type TurnPacer = {
	/** Time until a prompt of that size may be sent, in milliseconds. */
	readonly delayMs: (tokens: number, now: number) => number;
	/** Notes that a prompt is sent now. Returns the prompt tokens that the engine prefills before it. */
	readonly admit: (tokens: number, now: number) => number;
	/** Takes a prompt back that was admitted and is not sent. */
	readonly release: (tokens: number, now: number) => void;
	/** Prompt tokens that were admitted and are not prefilled yet. */
	readonly debt: (now: number) => number;
};

/** A prompt that asks for its turn. Times are of the clock of the queue. */
export type TurnRequest = {
	/** Identifies the request among all entries. */
	readonly id: string;
	readonly tokens: number;
	/** 0, the most urgent, if absent. */
	readonly priority?: number;
	readonly customer?: string;
	/** Share of the customer among the others, in tokens per second. `defaultTurnWeight` if absent. */
	readonly weight?: number;
	/** Time within which the first event is on time. */
	readonly targetAt?: number;
	/** Time after which the prompt is not sent. */
	readonly deadlineAt?: number;
	/** Time since which the prompt waits. */
	readonly since: number;
};

export type TurnAnswer =
	| {readonly kind: 'granted'; readonly tokensAhead: number}
	| {
			readonly kind: 'queued';
			/** Estimated time until the turn, in milliseconds. */
			readonly delayMs: number;
			/** Prompt tokens that the engine is to prefill before then. */
			readonly tokensAhead: number;
	  };

export type GrantedTurn = {
	readonly id: string;
	readonly tokensAhead: number;
};

type Place = {
	readonly request: TurnRequest;
	readonly customer: string;
	readonly priority: number;
	/** Order in which the places were taken. */
	readonly sequence: number;
	askedAt: number;
	/** Tokens that were granted to prompts behind it while it did not fit. */
	overtakenTokens: number;
};

type Grant = {
	readonly at: number;
	readonly tokens: number;
	readonly tokensAhead: number;
};

export type TurnQueueOptions = {
	readonly pacer: TurnPacer;
	/** Prefill rate of the engine. */
	readonly tokensPerMs: () => number;
};

/**
 * Queue of the prompts that wait for their turn at one engine, from all entries. The pacer says when the next prompt may be
 * sent; the queue says which one:
 *
 * 1. by priority;
 * 2. prompts whose first event can still come within its target, before those for which it is too late;
 * 3. of the customer with the fewest granted tokens for its weight;
 * 4. with the earliest target, then in order of arrival.
 *
 * Besides, a share of the tokens goes to the prompt that has waited longest (`longestWaitShare`), so that late and large
 * prompts, the last customer and the lowest priority are served as well. A prompt that does not fit yet may be overtaken by
 * smaller ones, by no more tokens than its own and within the shares of the customers.
 */
export class TurnQueue {
	static create(options: TurnQueueOptions): TurnQueue {
		return new TurnQueue(options);
	}

	private readonly _places = new Map<string, Place>();
	private readonly _grants = new Map<string, Grant>();
	private readonly _counters = TokenCounters.create();
	/** Tokens that the prompt that has waited longest may take ahead of its turn. */
	private _longestWaitCredit = 0;

	private _nextSequence = 0;

	private constructor(private readonly _options: TurnQueueOptions) {}

	/** Number of prompts that wait for a grant. */
	get size(): number {
		return this._places.size;
	}

	/** Whether the prompt has a place and no grant. */
	isWaiting(id: string): boolean {
		return this._places.has(id);
	}

	/** Prompt tokens that wait for a grant. */
	waitingTokens(): number {
		let waitingTokens = 0;
		for (const {request} of this._places.values()) {
			waitingTokens += request.tokens;
		}

		return waitingTokens;
	}

	/**
	 * Takes a place for a prompt, or keeps the one that it has. Call `takeDue` next, which may grant the turn at once. A prompt
	 * that has its grant already is told so again, as the first one may be lost.
	 */
	ask(request: TurnRequest, now: number): TurnAnswer {
		const {
			id,
			customer = '',
			priority = 0,
			weight = defaultTurnWeight,
		} = request;
		const grant = this._grants.get(id);
		if (grant !== undefined) {
			return {kind: 'granted', tokensAhead: grant.tokensAhead};
		}

		const place = this._places.get(id);
		if (place !== undefined) {
			place.askedAt = now;
			return this._estimate(place, now);
		}

		const added: Place = {
			request,
			customer,
			priority,
			sequence: this._nextSequence++,
			askedAt: now,
			overtakenTokens: 0,
		};
		this._places.set(id, added);
		this._counters.enter(customer, weight);
		return this._estimate(added, now);
	}

	/**
	 * Reserves a turn after a delay, for an entry that does not wait for grants. It comes after all prompts that wait now.
	 *
	 * @returns the delay in milliseconds, and the prompt tokens that the engine is to prefill before then
	 */
	reserve(
		tokens: number,
		now: number,
	): {readonly delayMs: number; readonly tokensAhead: number} {
		const {pacer, tokensPerMs} = this._options;
		const pacedMs = pacer.delayMs(tokens, now);
		const debt = pacer.admit(tokens, now);
		return {
			delayMs: pacedMs + this.waitingTokens() / tokensPerMs(),
			tokensAhead: Math.max(0, debt - pacedMs * tokensPerMs()),
		};
	}

	/** Cancels the reservation of a prompt that is not sent. */
	cancelReservation(tokens: number, now: number): void {
		this._options.pacer.release(tokens, now);
	}

	/**
	 * Gives up the place or the grant of a prompt. One that was sent without a grant still counts for the pacer, also if it
	 * has no place.
	 */
	leave(
		{
			id,
			tokens,
			isSent,
		}: {
			readonly id: string;
			readonly tokens: number;
			readonly isSent: boolean;
		},
		now: number,
	): void {
		const {pacer} = this._options;
		const place = this._places.get(id);
		const grant = this._grants.get(id);
		if (place !== undefined) {
			this._remove(place);
		}

		if (isSent && grant === undefined) {
			pacer.admit(tokens, now);
			this._grants.set(id, {at: now, tokens, tokensAhead: 0});
		} else if (!isSent && grant !== undefined) {
			this._grants.delete(id);
			pacer.release(grant.tokens, now);
		}
	}

	/** Removes and returns the prompts whose turn has come. */
	takeDue(now: number): readonly GrantedTurn[] {
		this._expire(now);
		const due: GrantedTurn[] = [];
		for (
			let place = this._nextToGrant(now);
			place !== undefined;
			place = this._nextToGrant(now)
		) {
			due.push(this._grant(place, now));
		}

		return due;
	}

	/** Returns the time until `takeDue` may return a prompt, in milliseconds; undefined if none waits. */
	nextDueMs(now: number): number | undefined {
		const head = this._head(now);
		if (head === undefined) {
			return undefined;
		}

		const {pacer} = this._options;
		let delayMs = pacer.delayMs(head.request.tokens, now);
		for (const place of this._places.values()) {
			if (this._mayOvertake(place, head)) {
				const {tokens} = place.request;
				delayMs = Math.min(delayMs, pacer.delayMs(tokens, now));
			}
		}

		return delayMs;
	}

	/** Frees the places that nobody keeps, and those whose deadline has passed. */
	private _expire(now: number): void {
		for (const place of this._places.values()) {
			const {deadlineAt = Number.POSITIVE_INFINITY} = place.request;
			if (now > deadlineAt || now - place.askedAt > turnPlaceLifetimeMs) {
				this._remove(place);
			}
		}

		for (const [id, {at}] of this._grants) {
			if (now - at <= turnGrantLifetimeMs) {
				break;
			}

			this._grants.delete(id);
		}
	}

	private _remove({request: {id}, customer}: Place): void {
		this._places.delete(id);
		this._counters.leave(customer);
		if (this._places.size === 0) {
			this._longestWaitCredit = 0;
		}
	}

	private _grant(place: Place, now: number): GrantedTurn {
		const {
			request: {id, tokens},
			customer,
		} = place;
		if (this._isByLongestWait(place)) {
			this._longestWaitCredit -= tokens;
		} else {
			this._longestWaitCredit +=
				(tokens * longestWaitShare) / (1 - longestWaitShare);
		}

		this._counters.charge(customer, tokens);
		this._remove(place);
		const tokensAhead = this._options.pacer.admit(tokens, now);
		this._grants.set(id, {at: now, tokens, tokensAhead});
		return {id, tokensAhead};
	}

	private _nextToGrant(now: number): Place | undefined {
		const head = this._head(now);
		if (head === undefined || this._fits(head, now)) {
			return head;
		}

		const behind = this._best(
			place => this._mayOvertake(place, head) && this._fits(place, now),
			now,
		);
		if (behind !== undefined) {
			head.overtakenTokens += behind.request.tokens;
		}

		return behind;
	}

	/**
	 * Whether a prompt may be sent before the one whose turn is next, which does not fit yet. Its customer must be due before
	 * the next prompt of the other one anyway, as customers with short prompts would get more than their share otherwise.
	 */
	private _mayOvertake(place: Place, head: Place): boolean {
		const {tokens} = head.request;
		const counters = this._counters;
		return (
			place !== head &&
			head.overtakenTokens + place.request.tokens <= tokens &&
			counters.counter(place.customer) <=
				counters.counter(head.customer) +
					tokens / counters.weight(head.customer)
		);
	}

	private _fits({request: {tokens}}: Place, now: number): boolean {
		return this._options.pacer.delayMs(tokens, now) === 0;
	}

	/** Returns the prompt whose turn is next, whether it fits or not. */
	private _head(now: number): Place | undefined {
		const oldest = this._oldest();
		return oldest !== undefined && this._isByLongestWait(oldest)
			? oldest
			: this._best(() => true, now);
	}

	private _isByLongestWait(place: Place): boolean {
		return (
			place.request.tokens <= this._longestWaitCredit &&
			place === this._oldest()
		);
	}

	private _oldest(): Place | undefined {
		let oldest: Place | undefined;
		for (const place of this._places.values()) {
			if (oldest === undefined || place.request.since < oldest.request.since) {
				oldest = place;
			}
		}

		return oldest;
	}

	private _best(
		isCandidate: (place: Place) => boolean,
		now: number,
	): Place | undefined {
		let best: Place | undefined;
		for (const place of this._places.values()) {
			if (
				isCandidate(place) &&
				(best === undefined || this._compare(place, best, now) < 0)
			) {
				best = place;
			}
		}

		return best;
	}

	/** Negative if `a` goes before `b`. */
	private _compare(a: Place, b: Place, now: number): number {
		return (
			a.priority - b.priority ||
			Number(this._isTooLate(a, now)) - Number(this._isTooLate(b, now)) ||
			this._counters.counter(a.customer) - this._counters.counter(b.customer) ||
			compareTargets(a.request, b.request) ||
			a.request.since - b.request.since ||
			a.sequence - b.sequence
		);
	}

	/** Whether the first event comes after its target even if the prompt is sent now. */
	private _isTooLate({request}: Place, now: number): boolean {
		const {targetAt, tokens} = request;
		if (targetAt === undefined) {
			return false;
		}

		const {pacer, tokensPerMs} = this._options;
		return now + (pacer.debt(now) + tokens) / tokensPerMs() > targetAt;
	}

	private _estimate(place: Place, now: number): TurnAnswer {
		const {pacer, tokensPerMs} = this._options;
		const {tokens, targetAt = Number.POSITIVE_INFINITY} = place.request;
		const ownMs = pacer.delayMs(tokens, now);
		const delayOf = (ahead: number) => ownMs + ahead / tokensPerMs();
		let delayMs = delayOf(
			this._tokensBefore(place, this._isTooLate(place, now), now),
		);
		if (now + delayMs + tokens / tokensPerMs() > targetAt) {
			delayMs = delayOf(this._tokensBefore(place, true, now));
		}

		const ahead = pacer.debt(now) + (delayMs - ownMs) * tokensPerMs();
		return {
			kind: 'queued',
			delayMs,
			tokensAhead: Math.max(0, ahead - delayMs * tokensPerMs()),
		};
	}

	/** Returns the tokens that are granted before the prompt, if nothing else arrives. */
	private _tokensBefore(place: Place, isTooLate: boolean, now: number): number {
		let before = 0;
		let ownAhead = 0;
		const others = new Map<string, number>();
		for (const other of this._places.values()) {
			const {tokens} = other.request;
			const isOtherTooLate = this._isTooLate(other, now);
			const rank =
				other.priority - place.priority ||
				Number(isOtherTooLate) - Number(isTooLate);
			if (other === place || rank > 0) {
				continue;
			}

			if (rank < 0) {
				before += tokens;
			} else if (other.customer !== place.customer) {
				others.set(other.customer, (others.get(other.customer) ?? 0) + tokens);
			} else if (this._compare(other, place, now) < 0) {
				ownAhead += tokens;
			}
		}

		const counters = this._counters;
		const counterAtTurn =
			counters.counter(place.customer) +
			ownAhead / counters.weight(place.customer);
		for (const [customer, tokens] of others) {
			const lead = counterAtTurn - counters.counter(customer);
			before += Math.min(tokens, Math.max(0, lead * counters.weight(customer)));
		}

		return before + ownAhead;
	}
}

function compareTargets(a: TurnRequest, b: TurnRequest): number {
	const {targetAt: atA = Number.POSITIVE_INFINITY} = a;
	const {targetAt: atB = Number.POSITIVE_INFINITY} = b;
	return atA === atB ? 0 : atA - atB;
}
