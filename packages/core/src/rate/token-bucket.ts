import {maxOpenRecords} from './constants.js';
import {LevelHistory, type HistoryMark} from './level-history.js';

/** Rate and burst of one bucket. */
export type BucketLimit = {
	readonly tokensPerMs: number;
	readonly burst: number;
};

/** Tokens that were sent to another entry. */
type SentTransfer = {
	/** Tokens that may still be spent, or were. */
	tokens: number;
	/** A transfer is given back once; a repeated message changes nothing. */
	isReturned: boolean;
	/** Where the history stood as the tokens stopped counting against the burst. */
	mark: HistoryMark | undefined;
};

/**
 * One shard's part of one customer's tokens.
 *
 * Tokens that may still be spent, here or by the entry that they were sent to, count against the burst together.
 * So all that is spent of this bucket over any window is at most its rate times the window's length plus its burst.
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
	private _settledAt: number;
	private readonly _history: LevelHistory;
	private readonly _transfers = new Map<string, SentTransfer>();
	/** Transfers that count against the burst and when they cease to, in this order. */
	private readonly _pending = new Map<string, number>();

	private constructor(limit: BucketLimit, level: number, accruesFrom: number) {
		this._limit = limit;
		this._level = Math.min(level, limit.burst);
		this._settledAt = accruesFrom;
		this._history = LevelHistory.create(accruesFrom, this._level);
	}

	/** Whole tokens that may be spent at present. */
	get available(): number {
		return Math.max(0, Math.floor(this._level));
	}

	get level(): number {
		return this._level;
	}

	get limit(): BucketLimit {
		return this._limit;
	}

	/** Whether the bucket is full and nothing can come back to it. */
	get isFull(): boolean {
		return this._level >= this._limit.burst;
	}

	/** Brings the bucket to the present time. */
	settle(now: number): void {
		for (const [transferId, lapsesAt] of this._pending) {
			if (lapsesAt > now) {
				break;
			}

			this._accrue(lapsesAt);
			const transfer = this._transfers.get(transferId);
			if (transfer !== undefined) {
				this._endCounting(transferId, transfer, lapsesAt);
			}
		}

		this._accrue(now);
	}

	setLimit(limit: BucketLimit, now: number): void {
		this.settle(now);
		this._limit = limit;
		this._level = Math.min(this._level, this._room);
		this._history.note(this._total);
	}

	/** Puts tokens aside for a request that still gathers. */
	hold(tokens: number): void {
		this._level -= tokens;
		this._held += tokens;
	}

	releaseHold(tokens: number): void {
		this._held -= tokens;
		this._level = Math.min(this._level + tokens, this._room);
	}

	/** Spends tokens that were put aside. */
	spendHold(tokens: number, now: number): HistoryMark {
		this._held -= tokens;
		return this._history.drop(this._total, this._limit.burst, now);
	}

	/** Takes in tokens that another holder sent, and returns how many found room. */
	absorb(tokens: number): number {
		const absorbed = Math.max(
			0,
			Math.min(tokens, Math.floor(this._room - this._level)),
		);
		this._level += absorbed;
		this._history.note(this._total);
		return absorbed;
	}

	/** Deducts tokens that go to another entry. */
	send(transferId: string, tokens: number, lapsesAt: number): void {
		this._level -= tokens;
		this._sent += tokens;
		this._transfers.set(transferId, {
			tokens,
			isReturned: false,
			mark: undefined,
		});
		this._pending.set(transferId, lapsesAt);
		this._forgetOldest();
	}

	hasSent(transferId: string): boolean {
		return this._transfers.has(transferId);
	}

	/** The receiver spent a transfer, which no longer counts against the burst. */
	confirm(transferId: string, now: number): void {
		const transfer = this._transfers.get(transferId);
		if (transfer !== undefined && transfer.mark === undefined) {
			this._endCounting(transferId, transfer, now);
		}
	}

	/** Takes back unspent tokens of a transfer and returns how many of them it knew as its own. */
	takeBack(transferId: string, tokens: number): number {
		const transfer = this._transfers.get(transferId);
		if (transfer === undefined || transfer.isReturned) {
			return 0;
		}

		const known = Math.min(tokens, transfer.tokens);
		transfer.isReturned = true;
		transfer.tokens -= known;
		if (transfer.mark === undefined) {
			this._sent -= known;
			this._level = Math.min(this._level + known, this._room);
		} else {
			this.credit(transfer.mark, known);
			this._transfers.delete(transferId);
		}

		return known;
	}

	/**
	 * Credits tokens that a reservation made at the mark did not use, as far as the burst allowed them then.
	 * Returns how many were credited.
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

	/** Most tokens that may be here beside those put aside and sent. */
	private get _room(): number {
		return Math.max(0, this._limit.burst - this._sent - this._held);
	}

	private get _total(): number {
		return this._level + this._held + this._sent;
	}

	private _endCounting(
		transferId: string,
		transfer: SentTransfer,
		now: number,
	): void {
		this._pending.delete(transferId);
		this._sent -= transfer.tokens;
		transfer.mark = this._history.drop(this._total, this._limit.burst, now);
		if (transfer.isReturned) {
			this._transfers.delete(transferId);
		}
	}

	private _accrue(now: number): void {
		if (now <= this._settledAt) {
			return;
		}

		const room = Math.max(0, this._limit.burst - this._total);
		const accrued = this._limit.tokensPerMs * (now - this._settledAt);
		this._level += Math.min(room, accrued);
		this._settledAt = now;
		this._history.note(this._total);
	}

	/** Only transfers that no longer count against the burst are forgotten. */
	private _forgetOldest(): void {
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
