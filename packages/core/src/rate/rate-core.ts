import {
	accrualWaitMs,
	minRetryAfterMs,
	openReservationMs,
	shortagePauseMs,
	shardsPerCustomer,
	transferTimeoutMs,
	transferValidityMs,
	unknownLimitRetryMs,
} from './constants.js';
import type {
	Gathering,
	OwnPart,
	PendingAsk,
	TokenRequest,
} from './gathering.js';
import {HeldShards} from './held-shards.js';
import {HolderDirectory} from './holder-directory.js';
import {OpenReservations} from './open-reservations.js';
import {Refiller} from './refiller.js';
import {returnTransfer} from './return-transfer.js';
import {TokenLender} from './token-lender.js';
import type {
	RateCommand,
	RateDecider,
	RateEvent,
	RateHolder,
	ShardLevels,
} from './types.js';

type EventOf<T extends RateEvent['type']> = Extract<
	RateEvent,
	{readonly type: T}
>;

/** What a rate decision needs to know of its own entry. */
export type RateCoreOptions = {
	readonly self: RateHolder;
	/** Differs for each start of the process. */
	readonly incarnation: string;
	/** Shards over which a customer's rate is split. The same on all entries. */
	readonly shardsPerCustomer?: number;
};

/**
 * Decides over customers' tokens on one entry.
 *
 * A customer's rate and burst are split over a few shards, each held by one entry under a lease. The entry spends
 * from the shards that it holds; what is missing it asks from the other holders, nearest first. A holder deducts
 * tokens before it sends them, so a lost message loses tokens and never makes them.
 */
export class RateCore implements RateDecider {
	static create(options: RateCoreOptions): RateCore {
		return new RateCore(options);
	}

	private _transferCount = 0;
	private readonly _idPrefix: string;
	private readonly _shards: HeldShards;
	private readonly _directory: HolderDirectory;
	private readonly _gatherings = new Map<string, Gathering>();
	private readonly _asks = new Map<string, Gathering>();
	/** Questions that were given up, whose tokens go back when they still arrive. */
	private readonly _abandoned = new Map<
		string,
		PendingAsk & {customer: string}
	>();

	/** By customer. */
	private readonly _waiting = new Map<
		string,
		{readonly request: TokenRequest; readonly at: number}
	>();

	private readonly _open = OpenReservations.create();
	private readonly _refiller: Refiller;
	private readonly _lender: TokenLender;

	private constructor(options: RateCoreOptions) {
		this._idPrefix = `${options.self.id}/${options.incarnation}`;
		this._shards = HeldShards.create(
			options.shardsPerCustomer ?? shardsPerCustomer,
		);
		this._directory = HolderDirectory.create(options.self);
		this._lender = TokenLender.create(this._shards);
		this._refiller = Refiller.create({
			shards: this._shards,
			directory: this._directory,
			nextTransferId: () => this._nextTransferId(),
		});
	}

	/** Takes an event at a time of the monotonic clock and returns what is to be done. */
	handle(event: RateEvent, now: number): readonly RateCommand[] {
		switch (event.type) {
			case 'reserveRequested': {
				return this._reserve(event, now);
			}

			case 'tokensReturned': {
				return this._giveBack(event, now);
			}

			case 'transferRequested': {
				this._refiller.noteSpent(event.customer, now);
				return [this._lender.serve(event, now)];
			}

			case 'transferArrived': {
				return this._takeTransfer(event, now);
			}

			case 'transferFailed': {
				return this._noteFailure(event, now);
			}

			case 'transferReturned': {
				this._lender.takeBack(event, now);
				return [];
			}

			case 'transferSpent': {
				this._lender.confirm(event.transferId, event.customer, now);

				return [];
			}

			case 'tick': {
				return this._tick(now);
			}

			case 'shardsLearned':
			case 'holdersLearned':
			case 'limitsChanged':
			case 'leaseGranted':
			case 'leaseLost':
			case 'clockJumped': {
				this._learn(event, now);
				return [];
			}
		}
	}

	/** Levels to hand to the next holder of a shard that is about to be released. */
	levelsOf(shard: string, now: number): ShardLevels | undefined {
		return this._shards.levelsOf(shard, now);
	}

	/** Number of buckets, for measurements. */
	get bucketCount(): number {
		return this._shards.bucketCount;
	}

	private _learn(
		event: EventOf<
			| 'shardsLearned'
			| 'holdersLearned'
			| 'limitsChanged'
			| 'leaseGranted'
			| 'leaseLost'
			| 'clockJumped'
		>,
		now: number,
	): void {
		switch (event.type) {
			case 'shardsLearned': {
				this._shards.learnShards(event.shards);
				break;
			}

			case 'holdersLearned': {
				this._directory.learn(event.holders);
				break;
			}

			case 'limitsChanged': {
				for (const limit of event.limits) {
					this._shards.setLimit(limit, now);
				}

				break;
			}

			case 'leaseGranted': {
				this._shards.grant(event, now);
				break;
			}

			case 'leaseLost': {
				this._shards.lose(event.shard);
				break;
			}

			case 'clockJumped': {
				this._jump(event.byMs);
				break;
			}
		}
	}

	private _reserve(
		event: EventOf<'reserveRequested'>,
		now: number,
	): readonly RateCommand[] {
		const {requestId, customer, patienceMs} = event;
		if (this._gatherings.has(requestId)) {
			return [];
		}

		const tokens = Math.ceil(event.tokens);
		const limit = this._shards.limitOf(customer);
		if (limit === undefined) {
			const retryAfterMs = unknownLimitRetryMs;
			return [{type: 'reserveRefused', requestId, retryAfterMs}];
		}

		if (tokens > limit.burstTokens) {
			return [{type: 'reserveRefused', requestId}];
		}

		return this._gather(
			{requestId, customer, tokens, deadline: now + patienceMs},
			now,
		);
	}

	private _gather(request: TokenRequest, now: number): readonly RateCommand[] {
		const {requestId, customer, tokens, deadline} = request;
		const own = this._holdOwn(customer, tokens, now);
		const gathering: Gathering = {
			requestId,
			customer,
			tokens,
			own,
			transfers: [],
			peers: [],
			deadline: Math.min(deadline, now + transferValidityMs),
			hasWaited: request.hasWaited ?? false,
			missing: tokens - sumOf(own),
			ask: undefined,
		};
		if (gathering.missing > 0) {
			const shards = this._shards.shardsOf(customer);
			gathering.peers.push(
				...this._directory.peersToAsk(customer, shards, gathering.missing, now),
			);
		}

		this._gatherings.set(requestId, gathering);
		return this._advance(gathering, now);
	}

	private _holdOwn(
		customer: string,
		tokens: number,
		now: number,
	): readonly OwnPart[] {
		const parts: OwnPart[] = [];
		let missing = tokens;
		for (const {shard, epoch, bucket} of this._shards.bucketsOf(
			customer,
			now,
		)) {
			const taken = Math.min(missing, bucket.available);
			if (taken > 0) {
				bucket.hold(taken);
				parts.push({shard, epoch, tokens: taken});
				missing -= taken;
			}
		}

		return parts;
	}

	/** Spends when all is there, else asks the next holder, else gives up. */
	private _advance(gathering: Gathering, now: number): readonly RateCommand[] {
		if (gathering.missing <= 0) {
			return this._spend(gathering, now);
		}

		const peer = gathering.peers.shift();
		if (peer === undefined || now >= gathering.deadline) {
			return this._giveUp(gathering, now);
		}

		const transferId = this._nextTransferId();
		const {customer, missing: tokens} = gathering;
		gathering.ask = {peer, transferId, tokens, askedAt: now};
		this._asks.set(transferId, gathering);
		return [{type: 'requestTransfer', peer, transferId, customer, tokens}];
	}

	private _spend(gathering: Gathering, now: number): readonly RateCommand[] {
		const {requestId, customer, own, transfers} = gathering;
		const isWhole =
			own.every(part => this._shards.isValid(part.shard, part.epoch, now)) &&
			transfers.every(part => now < part.validUntil);
		if (!isWhole) {
			return this._giveUp(gathering, now);
		}

		this._gatherings.delete(requestId);
		const marked = own.map(part => ({
			...part,
			mark:
				this._shards
					.find(customer, part.shard, part.epoch, now)
					?.spendHold(part.tokens, now) ?? 0,
		}));
		this._open.add(requestId, {
			customer,
			reservedAt: now,
			own: marked,
			transfers: transfers.map(({peer, transferId, tokens}) => ({
				peer,
				transferId,
				tokens,
			})),
		});
		this._refiller.noteSpent(customer, now);
		return [
			{type: 'reserved', requestId},
			...transfers.map(({peer, transferId}): RateCommand => ({
				type: 'confirmTransfer',
				peer,
				transferId,
				customer,
			})),
		];
	}

	private _giveUp(gathering: Gathering, now: number): readonly RateCommand[] {
		const {requestId, customer, own, transfers} = gathering;
		this._gatherings.delete(requestId);
		for (const part of own) {
			this._shards
				.find(customer, part.shard, part.epoch, now)
				?.releaseHold(part.tokens);
		}

		for (const part of transfers) {
			this._directory.noteShortage(part.peer, customer, part.tokens, now);
		}

		const retryAfterMs = this._retryAfterMs(gathering);
		const isWaiting = this._waitForAccrual(gathering, now);
		return [
			...(isWaiting
				? []
				: [{type: 'reserveRefused', requestId, retryAfterMs} as const]),
			...transfers.map(part => returnTransfer(part, customer, part.tokens)),
			...this._refreshIfUnknown(customer),
		];
	}

	/** Lets one request of a customer wait where its tokens are about to accrue. */
	private _waitForAccrual(gathering: Gathering, now: number): boolean {
		const accrualMs = this._accrualMs(gathering);
		const {requestId, customer, tokens, deadline, hasWaited} = gathering;
		// Holders that had too little are not asked again before their pause is over.
		const at = now + Math.max(accrualMs, shortagePauseMs);
		if (
			hasWaited ||
			accrualMs > accrualWaitMs ||
			at >= deadline ||
			this._waiting.has(customer)
		) {
			return false;
		}

		const request = {requestId, customer, tokens, deadline, hasWaited: true};
		this._waiting.set(customer, {request, at});
		return true;
	}

	private _resumeWaiting(now: number): readonly RateCommand[] {
		const commands: RateCommand[] = [];
		for (const [customer, {request, at}] of this._waiting) {
			if (now >= at) {
				this._waiting.delete(customer);
				commands.push(...this._gather(request, now));
			}
		}

		return commands;
	}

	private _refreshIfUnknown(customer: string): readonly RateCommand[] {
		const shards = this._shards.shardsOf(customer);
		return this._directory.knowsAll(shards) ? [] : [{type: 'refreshHolders'}];
	}

	/** When the missing tokens will have accrued, if nobody else takes them. */
	private _accrualMs(gathering: Gathering): number {
		const limit = this._shards.limitOf(gathering.customer);
		const tokensPerMs = (limit?.tokensPerSecond ?? 0) / 1000;
		const accrualMs =
			tokensPerMs > 0 ? gathering.missing / tokensPerMs : unknownLimitRetryMs;
		return Math.max(minRetryAfterMs, Math.ceil(accrualMs));
	}

	/** While a holder is not known, that one may have the tokens sooner than they accrue. */
	private _retryAfterMs(gathering: Gathering): number {
		const shards = this._shards.shardsOf(gathering.customer);
		const accrualMs = this._accrualMs(gathering);
		return this._directory.knowsAll(shards)
			? accrualMs
			: Math.max(unknownLimitRetryMs, accrualMs);
	}

	private _giveBack(
		event: EventOf<'tokensReturned'>,
		now: number,
	): readonly RateCommand[] {
		const open = this._open.take(event.requestId);
		if (open === undefined) {
			return [];
		}

		const {customer} = open;
		// What a bucket here has no room for may still have some where the rest came from.
		let left = Math.floor(event.tokens);
		for (const part of open.own) {
			const tokens = Math.min(left, part.tokens);
			const bucket = this._shards.find(customer, part.shard, part.epoch, now);
			left -= Math.ceil(bucket?.credit(part.mark, tokens) ?? 0);
		}

		const commands: RateCommand[] = [];
		for (const part of open.transfers) {
			const tokens = Math.min(left, part.tokens);
			if (tokens > 0) {
				commands.push(returnTransfer(part, customer, tokens));
				left -= tokens;
			}
		}

		return commands;
	}

	private _takeTransfer(
		event: EventOf<'transferArrived'>,
		now: number,
	): readonly RateCommand[] {
		const {peer, transferId, tokens} = event;
		this._directory.noteAlive(peer);
		const refilled = this._refiller.take(transferId, tokens, now);
		if (refilled !== undefined) {
			return refilled;
		}

		const gathering = this._asks.get(transferId);
		const ask = gathering?.ask;
		if (gathering === undefined || ask === undefined) {
			return this._returnLate(transferId, tokens);
		}

		this._asks.delete(transferId);
		gathering.ask = undefined;
		const accepted = Math.min(tokens, ask.tokens);
		if (accepted > 0) {
			const validUntil = ask.askedAt + transferValidityMs;
			gathering.transfers.push({
				peer,
				transferId,
				tokens: accepted,
				validUntil,
			});
			gathering.missing -= accepted;
		}

		if (accepted < ask.tokens) {
			this._directory.noteShortage(peer, gathering.customer, 0, now);
		}

		return this._advance(gathering, now);
	}

	private _returnLate(
		transferId: string,
		tokens: number,
	): readonly RateCommand[] {
		const abandoned = this._abandoned.get(transferId);
		this._abandoned.delete(transferId);
		if (abandoned === undefined || tokens <= 0) {
			return [];
		}

		return [returnTransfer(abandoned, abandoned.customer, tokens)];
	}

	private _noteFailure(
		event: EventOf<'transferFailed'>,
		now: number,
	): readonly RateCommand[] {
		const gathering = this._asks.get(event.transferId);
		this._directory.noteSuspect(event.peer, now);
		return gathering === undefined ? [] : this._abandon(gathering, now);
	}

	/** Goes on without the answer that a gathering waits for. */
	private _abandon(gathering: Gathering, now: number): readonly RateCommand[] {
		const {ask, customer} = gathering;
		if (ask !== undefined) {
			this._asks.delete(ask.transferId);
			this._abandoned.set(ask.transferId, {...ask, customer});
			gathering.ask = undefined;
		}

		return this._advance(gathering, now);
	}

	private _tick(now: number): readonly RateCommand[] {
		const commands: RateCommand[] = [];
		for (const gathering of this._gatherings.values()) {
			const {ask} = gathering;
			const isLate =
				now >= gathering.deadline ||
				(ask !== undefined && now - ask.askedAt >= transferTimeoutMs);
			if (isLate && ask !== undefined) {
				this._directory.noteSuspect(ask.peer, now);
				commands.push(...this._abandon(gathering, now));
			}
		}

		commands.push(...this._resumeWaiting(now), ...this._refiller.askLow(now));
		this._directory.expire(now);
		this._open.expire(now);
		this._refiller.expire(now);
		for (const [transferId, ask] of this._abandoned) {
			if (now - ask.askedAt >= openReservationMs) {
				this._abandoned.delete(transferId);
			}
		}

		return commands;
	}

	private _nextTransferId(): string {
		return `${this._idPrefix}/${this._transferCount++}`;
	}

	/** Shortens what may be spent until a point of time, never what counts against a burst. */
	private _jump(byMs: number): void {
		this._shards.advanceLeases(byMs);
		this._refiller.jump(byMs);
		for (const gathering of this._gatherings.values()) {
			if (gathering.ask !== undefined) {
				gathering.ask.askedAt -= byMs;
			}

			for (const part of gathering.transfers) {
				part.validUntil -= byMs;
			}
		}
	}
}

function sumOf(parts: ReadonlyArray<{readonly tokens: number}>): number {
	let sum = 0;
	for (const part of parts) {
		sum += part.tokens;
	}

	return sum;
}
