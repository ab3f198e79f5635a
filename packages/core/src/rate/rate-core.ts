import {
	maxOpenRecords,
	minRetryAfterMs,
	openReservationMs,
	shardsPerCustomer,
	transferOutstandingMs,
	transferTimeoutMs,
	transferValidityMs,
	unknownLimitRetryMs,
} from './constants.js';
import type {
	Gathering,
	OpenReservation,
	OwnPart,
	PendingAsk,
	TransferPart,
} from './gathering.js';
import {HeldShards} from './held-shards.js';
import {HolderDirectory} from './holder-directory.js';
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

	private readonly _open = new Map<string, OpenReservation>();

	private constructor(options: RateCoreOptions) {
		this._idPrefix = `${options.self.id}/${options.incarnation}`;
		this._shards = HeldShards.create(
			options.shardsPerCustomer ?? shardsPerCustomer,
		);
		this._directory = HolderDirectory.create(options.self);
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
				return this._serveTransfer(event, now);
			}

			case 'transferArrived': {
				return this._takeTransfer(event, now);
			}

			case 'transferFailed': {
				return this._noteFailure(event, now);
			}

			case 'transferReturned': {
				return this._takeBackTransfer(event, now);
			}

			case 'transferSpent': {
				for (const {bucket} of this._shards.bucketsOf(event.customer, now)) {
					bucket.confirm(event.transferId, now);
				}

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

		const own = this._holdOwn(customer, tokens, now);
		const gathering: Gathering = {
			requestId,
			customer,
			own,
			transfers: [],
			peers: [],
			deadline: now + Math.min(patienceMs, transferValidityMs),
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

		const transferId = `${this._idPrefix}/${this._transferCount++}`;
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
		this._open.set(requestId, {
			customer,
			reservedAt: now,
			own: marked,
			transfers: transfers.map(({peer, transferId, tokens}) => ({
				peer,
				transferId,
				tokens,
			})),
		});
		this._forgetOpen(now);
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

		return [
			{
				type: 'reserveRefused',
				requestId,
				retryAfterMs: this._retryAfterMs(gathering),
			},
			...transfers.map(part => returnOf(part, customer, part.tokens)),
			...this._refreshIfUnknown(customer),
		];
	}

	private _refreshIfUnknown(customer: string): readonly RateCommand[] {
		const shards = this._shards.shardsOf(customer);
		return this._directory.knowsAll(shards) ? [] : [{type: 'refreshHolders'}];
	}

	/** When the missing tokens will have accrued, if nobody else takes them. */
	private _retryAfterMs(gathering: Gathering): number {
		const limit = this._shards.limitOf(gathering.customer);
		const tokensPerMs = (limit?.tokensPerSecond ?? 0) / 1000;
		const accrualMs =
			tokensPerMs > 0 ? gathering.missing / tokensPerMs : unknownLimitRetryMs;
		return Math.max(minRetryAfterMs, Math.ceil(accrualMs));
	}

	private _giveBack(
		event: EventOf<'tokensReturned'>,
		now: number,
	): readonly RateCommand[] {
		const open = this._open.get(event.requestId);
		if (open === undefined) {
			return [];
		}

		this._open.delete(event.requestId);
		const {customer} = open;
		let left = Math.floor(event.tokens);
		for (const part of open.own) {
			const tokens = Math.min(left, part.tokens);
			this._shards
				.find(customer, part.shard, part.epoch, now)
				?.credit(part.mark, tokens);
			left -= tokens;
		}

		const commands: RateCommand[] = [];
		for (const part of open.transfers) {
			const tokens = Math.min(left, part.tokens);
			if (tokens > 0) {
				commands.push(returnOf(part, customer, tokens));
				left -= tokens;
			}
		}

		return commands;
	}

	private _serveTransfer(
		event: EventOf<'transferRequested'>,
		now: number,
	): readonly RateCommand[] {
		const {peer, transferId, customer, tokens} = event;
		let sent = 0;
		for (const {bucket} of this._shards.bucketsOf(customer, now)) {
			const part = Math.min(Math.ceil(tokens) - sent, bucket.available);
			if (part > 0 && !bucket.hasSent(transferId)) {
				bucket.send(transferId, part, now + transferOutstandingMs);
				sent += part;
			}
		}

		const limit = this._shards.limitOf(customer);
		const tokensPerMs = (limit?.tokensPerSecond ?? 0) / 1000;
		const retry =
			sent < tokens && tokensPerMs > 0
				? {retryAfterMs: Math.ceil((tokens - sent) / tokensPerMs)}
				: {};
		return [
			{
				type: 'sendTransfer',
				peer,
				transferId,
				customer,
				tokens: sent,
				...retry,
			},
		];
	}

	private _takeTransfer(
		event: EventOf<'transferArrived'>,
		now: number,
	): readonly RateCommand[] {
		const {peer, transferId, tokens} = event;
		this._directory.noteAlive(peer);
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

		return [returnOf(abandoned, abandoned.customer, tokens)];
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

	private _takeBackTransfer(
		event: EventOf<'transferReturned'>,
		now: number,
	): readonly RateCommand[] {
		let left = event.tokens;
		for (const {bucket} of this._shards.bucketsOf(event.customer, now)) {
			left -= bucket.takeBack(event.transferId, left);
		}

		return [];
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

		this._directory.expire(now);
		this._forgetOpen(now);
		for (const [transferId, ask] of this._abandoned) {
			if (now - ask.askedAt >= openReservationMs) {
				this._abandoned.delete(transferId);
			}
		}

		return commands;
	}

	/** Shortens what may be spent until a point of time, never what counts against a burst. */
	private _jump(byMs: number): void {
		this._shards.advanceLeases(byMs);
		for (const gathering of this._gatherings.values()) {
			if (gathering.ask !== undefined) {
				gathering.ask.askedAt -= byMs;
			}

			for (const part of gathering.transfers) {
				part.validUntil -= byMs;
			}
		}
	}

	private _forgetOpen(now: number): void {
		for (const [requestId, open] of this._open) {
			const isOld = now - open.reservedAt >= openReservationMs;
			if (!isOld && this._open.size <= maxOpenRecords) {
				return;
			}

			this._open.delete(requestId);
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

function returnOf(
	part: Pick<TransferPart, 'peer' | 'transferId'>,
	customer: string,
	tokens: number,
): RateCommand {
	const {peer, transferId} = part;
	return {type: 'returnTransfer', peer, transferId, customer, tokens};
}
