import {maxOpenRecords} from './constants.js';
import {LevelHistory, type HistoryMark} from './level-history.js';

/** Rate and burst of one bucket. */
export type BucketLimit = {
	readonly tokensPerMs: number;
	readonly burst: number;
};

/** Tokens that were sent to another entry. */
type SentTransfer = {
	/** Tokens that the receiver has spent or may still spend. */
	tokens: number;
	/** Whether tokens were returned. A transfer is returned at most once; repeated messages have no effect. */
	isReturned: boolean;
	/** Position in the history at which the tokens stopped counting against the burst. Undefined: they still count. */
	mark: HistoryMark | undefined;
};

/**
 * One shard's part of one customer's tokens.
 *
 * All tokens that may still be spent, locally or by the entries that they were sent to, count against the burst. The
 * tokens of this bucket that are spent in any time window are therefore at most its rate times the window's length,
 * plus its burst.
 */
export class TokenBucket {
	static create(
		limit: BucketLimit,
		level: number,
		accruesFrom: number,
	): TokenBucket {
		return new TokenBucket(limit, level, accruesFrom);
	}

	private _limit: BucketLimit;
	private _level: number;
	private _held = 0;
	private _sent = 0;
	/** Time up to which tokens have accrued. */
	private _advancedAt: number;
	private readonly _history: LevelHistory;
	private readonly _transfers = new Map<string, SentTransfer>();
	/** Times at which transfers stop counting against the burst, by transfer, earliest first. */
	private readonly _countedUntil = new Map<string, number>();

	private constructor(limit: BucketLimit, level: number, accruesFrom: number) {
		this._limit = limit;
		this._level = Math.min(level, limit.burst);
		this._advancedAt = accruesFrom;
		this._history = LevelHistory.create(accruesFrom, this._level);
	}

	/** Whole tokens that may be spent now. */
	get available(): number {
		return Math.max(0, Math.floor(this._level));
	}

	get level(): number {
		return this._level;
	}

	get limit(): BucketLimit {
		return this._limit;
	}

	/** Whether the bucket is full. Nothing is held, no transfer counts against the burst, and nothing can be credited. */
	get isFull(): boolean {
		return this._level >= this._limit.burst;
	}

	/** Accrues tokens and expires transfers up to the given time of the monotonic clock, in milliseconds. */
	advanceTo(now: number): void {
		for (const [transferId, expiresAt] of this._countedUntil) {
			if (expiresAt > now) {
				break;
			}

			this._accrue(expiresAt);
			const transfer = this._transfers.get(transferId);
			if (transfer !== undefined) {
				this._stopCounting(transferId, transfer, expiresAt);
			}
		}

		this._accrue(now);
	}

	setLimit(limit: BucketLimit, now: number): void {
		this.advanceTo(now);
		this._limit = limit;
		this._level = Math.min(this._level, this._maxLevel);
		this._history.record(this._total);
	}

	/** Sets tokens aside for a pending reservation. */
	hold(tokens: number): void {
		this._level -= tokens;
		this._held += tokens;
	}

	/** Returns held tokens to the bucket, up to the burst. */
	releaseHold(tokens: number): void {
		this._held -= tokens;
		this._level = Math.min(this._level + tokens, this._maxLevel);
	}

	/** Spends held tokens and returns the mark at which unused ones can be credited. */
	spendHold(tokens: number, now: number): HistoryMark {
		this._held -= tokens;
		return this._history.recordDrop(this._total, this._limit.burst, now);
	}

	/** Adds tokens that another holder sent, up to the burst, and returns how many were added. */
	deposit(tokens: number): number {
		const absorbed = Math.max(
			0,
			Math.min(tokens, Math.floor(this._maxLevel - this._level)),
		);
		this._level += absorbed;
		this._history.record(this._total);
		return absorbed;
	}

	/** Deducts tokens that are sent to another entry. They count against the burst until they expire or are confirmed. */
	send(transferId: string, tokens: number, expiresAt: number): void {
		this._level -= tokens;
		this._sent += tokens;
		this._transfers.set(transferId, {
			tokens,
			isReturned: false,
			mark: undefined,
		});
		this._countedUntil.set(transferId, expiresAt);
		this._evictOldest();
	}

	hasSent(transferId: string): boolean {
		return this._transfers.has(transferId);
	}

	/** Records that the receiver has spent a transfer, which then stops counting against the burst. */
	confirm(transferId: string, now: number): void {
		const transfer = this._transfers.get(transferId);
		if (transfer !== undefined && transfer.mark === undefined) {
			this._stopCounting(transferId, transfer, now);
		}
	}

	/** Takes back unspent tokens of a transfer and returns how many of them this bucket had sent. */
	acceptReturn(transferId: string, tokens: number): number {
		const transfer = this._transfers.get(transferId);
		if (transfer === undefined || transfer.isReturned) {
			return 0;
		}

		const accepted = Math.min(tokens, transfer.tokens);
		transfer.isReturned = true;
		transfer.tokens -= accepted;
		if (transfer.mark === undefined) {
			this._sent -= accepted;
			this._level = Math.min(this._level + accepted, this._maxLevel);
		} else {
			this.credit(transfer.mark, accepted);
			this._transfers.delete(transferId);
		}

		return accepted;
	}

	/**
	 * Credits unused tokens of a reservation made at the mark, except those that would have overflowed the bucket since
	 * then. Returns how many were credited.
	 */
	credit(mark: HistoryMark, tokens: number): number {
		const room = this._limit.burst - this._history.maxSince(mark);
		const credited = Math.max(0, Math.min(tokens, room));
		if (credited > 0) {
			this._level += credited;
			this._history.raiseSince(mark, credited);
		}

		return credited;
	}

	/** Maximum level: the burst minus the held and the sent tokens. */
	private get _maxLevel(): number {
		return Math.max(0, this._limit.burst - this._sent - this._held);
	}

	/** Tokens that count against the burst. */
	private get _total(): number {
		return this._level + this._held + this._sent;
	}

	private _stopCounting(
		transferId: string,
		transfer: SentTransfer,
		now: number,
	): void {
		this._countedUntil.delete(transferId);
		this._sent -= transfer.tokens;
		transfer.mark = this._history.recordDrop(
			this._total,
			this._limit.burst,
			now,
		);
		if (transfer.isReturned) {
			this._transfers.delete(transferId);
		}
	}

	private _accrue(now: number): void {
		if (now <= this._advancedAt) {
			return;
		}

		const room = Math.max(0, this._limit.burst - this._total);
		const accrued = this._limit.tokensPerMs * (now - this._advancedAt);
		this._level += Math.min(room, accrued);
		this._advancedAt = now;
		this._history.record(this._total);
	}

	/** Evicts the oldest transfers above the limit, but only those that no longer count against the burst. */
	private _evictOldest(): void {
		if (this._transfers.size <= maxOpenRecords) {
			return;
		}

		for (const [transferId, transfer] of this._transfers) {
			if (transfer.mark !== undefined) {
				this._transfers.delete(transferId);
			}

			if (this._transfers.size <= maxOpenRecords) {
				return;
			}
		}
	}
}
