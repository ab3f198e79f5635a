import {
	maxAccrualWaitMs,
	maxWaitingForHolders,
	minRetryAfterMs,
	openReservationMs,
	shortageTtlMs,
	shardsPerCustomer,
	transferTimeoutMs,
	transferValidityMs,
	unknownLimitRetryMs,
} from './constants.js';
import type {
	PendingReservation,
	LocalPart,
	PendingTransfer,
	TokenRequest,
} from './pending-reservation.js';
import {HeldShards} from './held-shards.js';
import {HolderDirectory} from './holder-directory.js';
import {OpenReservations} from './open-reservations.js';
import {TokenRebalancer} from './token-rebalancer.js';
import {returnTransfer} from './return-transfer.js';
import {TransferSender} from './transfer-sender.js';
import type {
	RateCommand,
	RateLimiter,
	RateEvent,
	RateHolder,
	ShardLevels,
} from './types.js';

type EventOf<T extends RateEvent['type']> = Extract<
	RateEvent,
	{readonly type: T}
>;

/** Identity and settings of the entry that the rate limiter runs on. */
export type RateCoreOptions = {
	readonly self: RateHolder;
	/** Unique for each start of the process. */
	readonly incarnation: string;
	/** Number of shards over which a customer's rate is split. Must be the same on all entries. */
	readonly shardsPerCustomer?: number;
};

/**
 * Rate limiter of one entry. It performs no I/O: it turns events into commands.
 *
 * A customer's rate and burst are split over a few shards, each held by one entry under a lease. An entry spends
 * tokens of the shards that it holds and requests missing tokens from the other holders, nearest first. A holder
 * deducts tokens before it sends them, so a lost message can lose tokens but never create them.
 */
export class RateCore implements RateLimiter {
	static create(options: RateCoreOptions): RateCore {
		return new RateCore(options);
	}

	private _transferCount = 0;
	private readonly _idPrefix: string;
	private readonly _shards: HeldShards;
	private readonly _directory: HolderDirectory;
	private readonly _pendingReservations = new Map<string, PendingReservation>();
	/** Reservations that wait for a transfer, by transfer. */
	private readonly _pendingTransfers = new Map<string, PendingReservation>();
	/** Transfers that timed out or failed, by transfer. If their tokens arrive late, they go back to the sender. */
	private readonly _abandonedTransfers = new Map<
		string,
		PendingTransfer & {customer: string}
	>();

	/** Requests that wait for tokens to accrue, at most one per customer. */
	private readonly _waitingForAccrual = new Map<
		string,
		{readonly request: TokenRequest; readonly at: number}
	>();

	/** Requests that wait until holders answer or are known, by customer. */
	private readonly _waitingForHolders = new Map<
		string,
		ReadonlyArray<{readonly request: TokenRequest; readonly at: number}>
	>();

	private readonly _openReservations = OpenReservations.create();
	private readonly _rebalancer: TokenRebalancer;
	private readonly _transferSender: TransferSender;

	private constructor(options: RateCoreOptions) {
		this._idPrefix = `${options.self.id}/${options.incarnation}`;
		this._shards = HeldShards.create(
			options.shardsPerCustomer ?? shardsPerCustomer,
		);
		this._directory = HolderDirectory.create(options.self);
		this._transferSender = TransferSender.create(this._shards);
		this._rebalancer = TokenRebalancer.create({
			shards: this._shards,
			directory: this._directory,
			nextTransferId: () => this._nextTransferId(),
		});
	}

	/** Handles an event at a time of the monotonic clock, in milliseconds, and returns the resulting commands. */
	handle(event: RateEvent, now: number): readonly RateCommand[] {
		switch (event.type) {
			case 'reserveRequested': {
				return this._reserve(event, now);
			}

			case 'tokensReturned': {
				return this._returnTokens(event, now);
			}

			case 'transferRequested': {
				this._rebalancer.markSpent(event.customer, now);
				return [this._transferSender.answer(event, now)];
			}

			case 'transferArrived': {
				return this._receiveTransfer(event, now);
			}

			case 'transferFailed': {
				return this._handleTransferFailure(event, now);
			}

			case 'transferReturned': {
				this._transferSender.acceptReturn(event, now);
				return [];
			}

			case 'transferSpent': {
				this._transferSender.confirm(event.transferId, event.customer, now);

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
				this._applyUpdate(event, now);
				return [];
			}
		}
	}

	/**
	 * Bucket levels to pass on to the next holder when a shard is released. Undefined if the shard has too many buckets
	 * that are not full.
	 */
	levelsOf(shard: string, now: number): ShardLevels | undefined {
		return this._shards.levelsOf(shard, now);
	}

	/** Number of buckets in memory, for measurements. */
	get bucketCount(): number {
		return this._shards.bucketCount;
	}

	private _applyUpdate(
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
				this._shards.setShards(event.shards);
				break;
			}

			case 'holdersLearned': {
				this._directory.setHolders(event.holders);
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
				this._shards.remove(event.shard);
				break;
			}

			case 'clockJumped': {
				this._applyClockJump(event.byMs);
				break;
			}
		}
	}

	private _reserve(
		event: EventOf<'reserveRequested'>,
		now: number,
	): readonly RateCommand[] {
		const {requestId, customer, maxWaitMs} = event;
		if (this._pendingReservations.has(requestId)) {
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

		return this._startReservation(
			{requestId, customer, tokens, deadline: now + maxWaitMs},
			now,
		);
	}

	private _startReservation(
		request: TokenRequest,
		now: number,
	): readonly RateCommand[] {
		const {requestId, customer, tokens, deadline} = request;
		const localParts = this._holdLocalTokens(customer, tokens, now);
		const reservation: PendingReservation = {
			requestId,
			customer,
			tokens,
			localParts,
			transferParts: [],
			untriedPeers: [],
			deadline: Math.min(deadline, now + transferValidityMs),
			requestDeadline: deadline,
			hasWaited: request.hasWaited ?? false,
			hasUnanswered: false,
			missing: tokens - sumOf(localParts),
			pendingTransfer: undefined,
		};
		if (reservation.missing > 0) {
			const shards = this._shards.shardsOf(customer);
			reservation.untriedPeers.push(
				...this._directory.peersToAsk(
					customer,
					shards,
					reservation.missing,
					now,
				),
			);
		}

		this._pendingReservations.set(requestId, reservation);
		return this._continueReservation(reservation, now);
	}

	private _holdLocalTokens(
		customer: string,
		tokens: number,
		now: number,
	): readonly LocalPart[] {
		const parts: LocalPart[] = [];
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

	/** Completes the reservation if no tokens are missing, else requests them from the next holder, else fails it. */
	private _continueReservation(
		reservation: PendingReservation,
		now: number,
	): readonly RateCommand[] {
		if (reservation.missing <= 0) {
			return this._completeReservation(reservation, now);
		}

		const peer = reservation.untriedPeers.shift();
		if (peer === undefined || now >= reservation.deadline) {
			return this._failReservation(reservation, now);
		}

		const transferId = this._nextTransferId();
		const {customer, missing: tokens} = reservation;
		reservation.pendingTransfer = {peer, transferId, tokens, requestedAt: now};
		this._pendingTransfers.set(transferId, reservation);
		return [{type: 'requestTransfer', peer, transferId, customer, tokens}];
	}

	private _completeReservation(
		reservation: PendingReservation,
		now: number,
	): readonly RateCommand[] {
		const {requestId, customer, localParts, transferParts} = reservation;
		const hasOnlyValidParts =
			localParts.every(part =>
				this._shards.isValid(part.shard, part.epoch, now),
			) && transferParts.every(part => now < part.validUntil);
		if (!hasOnlyValidParts) {
			return this._failReservation(reservation, now);
		}

		this._pendingReservations.delete(requestId);
		const spentParts = localParts.map(part => ({
			...part,
			mark:
				this._shards
					.find(customer, part.shard, part.epoch, now)
					?.spendHold(part.tokens, now) ?? 0,
		}));
		this._openReservations.add(requestId, {
			customer,
			reservedAt: now,
			localParts: spentParts,
			transferParts: transferParts.map(({peer, transferId, tokens}) => ({
				peer,
				transferId,
				tokens,
			})),
		});
		this._rebalancer.markSpent(customer, now);
		return [
			{type: 'reserved', requestId},
			...transferParts.map(({peer, transferId}): RateCommand => ({
				type: 'confirmTransfer',
				peer,
				transferId,
				customer,
			})),
		];
	}

	private _failReservation(
		reservation: PendingReservation,
		now: number,
	): readonly RateCommand[] {
		const {requestId, customer, localParts, transferParts} = reservation;
		this._pendingReservations.delete(requestId);
		for (const part of localParts) {
			this._shards
				.find(customer, part.shard, part.epoch, now)
				?.releaseHold(part.tokens);
		}

		for (const part of transferParts) {
			this._directory.recordShortage(part.peer, customer, part.tokens, now);
		}

		const retryAfterMs = this._retryAfterMs(reservation);
		const isWaiting =
			this._waitForHolders(reservation, now) ||
			this._waitForAccrual(reservation, now);
		return [
			...(isWaiting
				? []
				: [{type: 'reserveRefused', requestId, retryAfterMs} as const]),
			...transferParts.map(part => returnTransfer(part, customer, part.tokens)),
			...this._refreshUnknownHolders(customer),
		];
	}

	/**
	 * Queues a request instead of refusing it while it is not known whether its tokens are there: a holder did not answer,
	 * or this entry has just started and has not learned yet who holds a shard.
	 */
	private _waitForHolders(
		reservation: PendingReservation,
		now: number,
	): boolean {
		const {requestId, customer, tokens, hasWaited} = reservation;
		const isKnown =
			!reservation.hasUnanswered &&
			this._directory.hasKnownAll(this._shards.shardsOf(customer));
		const waiting = this._waitingForHolders.get(customer) ?? [];
		const deadline = reservation.requestDeadline;
		// Retrying before the shortages expire would skip the holders that had too few tokens.
		const at = now + shortageTtlMs;
		if (isKnown || at >= deadline || waiting.length >= maxWaitingForHolders) {
			return false;
		}

		const request = {requestId, customer, tokens, deadline, hasWaited};
		this._waitingForHolders.set(customer, [...waiting, {request, at}]);
		return true;
	}

	/**
	 * Queues a request whose tokens accrue soon instead of refusing it. At most one request of a customer waits at a
	 * time, and each waits at most once.
	 */
	private _waitForAccrual(
		reservation: PendingReservation,
		now: number,
	): boolean {
		const accrualMs = this._accrualMs(reservation);
		const {requestId, customer, tokens, deadline, hasWaited} = reservation;
		// Retrying before the shortages expire would skip the holders that had too few tokens.
		const at = now + Math.max(accrualMs, shortageTtlMs);
		if (
			hasWaited ||
			accrualMs > maxAccrualWaitMs ||
			at >= deadline ||
			this._waitingForAccrual.has(customer)
		) {
			return false;
		}

		const request = {requestId, customer, tokens, deadline, hasWaited: true};
		this._waitingForAccrual.set(customer, {request, at});
		return true;
	}

	private _resumeWaiting(now: number): readonly RateCommand[] {
		const commands: RateCommand[] = [];
		for (const [customer, {request, at}] of this._waitingForAccrual) {
			if (now >= at) {
				this._waitingForAccrual.delete(customer);
				commands.push(...this._startReservation(request, now));
			}
		}

		for (const [customer, waiting] of this._waitingForHolders) {
			const due = waiting.filter(({at}) => now >= at);
			if (due.length === waiting.length) {
				this._waitingForHolders.delete(customer);
			} else {
				const left = waiting.filter(({at}) => now < at);
				this._waitingForHolders.set(customer, left);
			}

			for (const {request} of due) {
				commands.push(...this._startReservation(request, now));
			}
		}

		return commands;
	}

	private _refreshUnknownHolders(customer: string): readonly RateCommand[] {
		const shards = this._shards.shardsOf(customer);
		return this._directory.knowsAll(shards) ? [] : [{type: 'refreshHolders'}];
	}

	/** Time until the missing tokens have accrued if no other request takes them, in milliseconds. */
	private _accrualMs(reservation: PendingReservation): number {
		const limit = this._shards.limitOf(reservation.customer);
		const tokensPerMs = (limit?.tokensPerSecond ?? 0) / 1000;
		const accrualMs =
			tokensPerMs > 0 ? reservation.missing / tokensPerMs : unknownLimitRetryMs;
		return Math.max(minRetryAfterMs, Math.ceil(accrualMs));
	}

	/**
	 * Retry delay of a refusal: the accrual time, but at least `unknownLimitRetryMs` while a holder is unknown, as that
	 * holder may have the tokens.
	 */
	private _retryAfterMs(reservation: PendingReservation): number {
		const shards = this._shards.shardsOf(reservation.customer);
		const accrualMs = this._accrualMs(reservation);
		return this._directory.knowsAll(shards)
			? accrualMs
			: Math.max(unknownLimitRetryMs, accrualMs);
	}

	private _returnTokens(
		event: EventOf<'tokensReturned'>,
		now: number,
	): readonly RateCommand[] {
		const reservation = this._openReservations.take(event.requestId);
		if (reservation === undefined) {
			return [];
		}

		const {customer} = reservation;
		// Tokens that the local buckets have no room for go back to the holders that sent the transfers.
		let left = Math.floor(event.tokens);
		for (const part of reservation.localParts) {
			const tokens = Math.min(left, part.tokens);
			const bucket = this._shards.find(customer, part.shard, part.epoch, now);
			left -= Math.ceil(bucket?.credit(part.mark, tokens) ?? 0);
		}

		const commands: RateCommand[] = [];
		for (const part of reservation.transferParts) {
			const tokens = Math.min(left, part.tokens);
			if (tokens > 0) {
				commands.push(returnTransfer(part, customer, tokens));
				left -= tokens;
			}
		}

		return commands;
	}

	private _receiveTransfer(
		event: EventOf<'transferArrived'>,
		now: number,
	): readonly RateCommand[] {
		const {peer, transferId, tokens} = event;
		this._directory.markResponsive(peer);
		const rebalanced = this._rebalancer.receive(transferId, tokens, now);
		if (rebalanced !== undefined) {
			return rebalanced;
		}

		const reservation = this._pendingTransfers.get(transferId);
		const pendingTransfer = reservation?.pendingTransfer;
		if (reservation === undefined || pendingTransfer === undefined) {
			return this._returnLateTransfer(transferId, tokens);
		}

		this._pendingTransfers.delete(transferId);
		reservation.pendingTransfer = undefined;
		const accepted = Math.min(tokens, pendingTransfer.tokens);
		if (accepted > 0) {
			const validUntil = pendingTransfer.requestedAt + transferValidityMs;
			reservation.transferParts.push({
				peer,
				transferId,
				tokens: accepted,
				validUntil,
			});
			reservation.missing -= accepted;
		}

		if (accepted < pendingTransfer.tokens) {
			this._directory.recordShortage(peer, reservation.customer, 0, now);
		}

		return this._continueReservation(reservation, now);
	}

	private _returnLateTransfer(
		transferId: string,
		tokens: number,
	): readonly RateCommand[] {
		const abandoned = this._abandonedTransfers.get(transferId);
		this._abandonedTransfers.delete(transferId);
		if (abandoned === undefined || tokens <= 0) {
			return [];
		}

		return [returnTransfer(abandoned, abandoned.customer, tokens)];
	}

	private _handleTransferFailure(
		event: EventOf<'transferFailed'>,
		now: number,
	): readonly RateCommand[] {
		const reservation = this._pendingTransfers.get(event.transferId);
		this._directory.markUnresponsive(event.peer, now);
		return reservation === undefined
			? []
			: this._abandonTransfer(reservation, now);
	}

	/** Continues the reservation without the transfer that it waits for. */
	private _abandonTransfer(
		reservation: PendingReservation,
		now: number,
	): readonly RateCommand[] {
		const {pendingTransfer, customer} = reservation;
		reservation.hasUnanswered = true;
		if (pendingTransfer !== undefined) {
			this._pendingTransfers.delete(pendingTransfer.transferId);
			this._abandonedTransfers.set(pendingTransfer.transferId, {
				...pendingTransfer,
				customer,
			});
			reservation.pendingTransfer = undefined;
		}

		return this._continueReservation(reservation, now);
	}

	private _tick(now: number): readonly RateCommand[] {
		const commands: RateCommand[] = [];
		for (const reservation of this._pendingReservations.values()) {
			const {pendingTransfer} = reservation;
			const isLate =
				now >= reservation.deadline ||
				(pendingTransfer !== undefined &&
					now - pendingTransfer.requestedAt >= transferTimeoutMs);
			if (isLate && pendingTransfer !== undefined) {
				this._directory.markUnresponsive(pendingTransfer.peer, now);
				commands.push(...this._abandonTransfer(reservation, now));
			}
		}

		commands.push(
			...this._resumeWaiting(now),
			...this._rebalancer.requestForLowBuckets(now),
		);
		this._directory.expire(now);
		this._openReservations.expire(now);
		this._rebalancer.expire(now);
		for (const [transferId, transfer] of this._abandonedTransfers) {
			if (now - transfer.requestedAt >= openReservationMs) {
				this._abandonedTransfers.delete(transferId);
			}
		}

		return commands;
	}

	private _nextTransferId(): string {
		return `${this._idPrefix}/${this._transferCount++}`;
	}

	/**
	 * Shortens the times until which tokens may be spent by the jump. The times until which tokens count against a burst
	 * stay unchanged, which only delays their release.
	 */
	private _applyClockJump(byMs: number): void {
		this._shards.shortenLeases(byMs);
		this._rebalancer.applyClockJump(byMs);
		for (const reservation of this._pendingReservations.values()) {
			if (reservation.pendingTransfer !== undefined) {
				reservation.pendingTransfer.requestedAt -= byMs;
			}

			for (const part of reservation.transferParts) {
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
