import type {CustomerRule} from '../authority/types.js';
import {TokenBucket, type BucketLimit} from '../rate/token-bucket.js';
import {
	heardLevelLifetimeMs,
	untoldAccrualMs,
	unownedRateShare,
	unownedSlackShare,
} from './constants.js';

/** Whether units of a customer's rate may be spent. */
export type QuotaGrant =
	| {readonly kind: 'granted'}
	| {
			readonly kind: 'refused';
			readonly retryAfterMs: number;
			/** Units that were left. */
			readonly level: number;
	  };

/** What a customer had left at a moment. */
export type QuotaLevel = {
	readonly customer: string;
	readonly level: number;
};

type HeardLevel = {readonly level: number; readonly at: number};

/** Settings of the ledger. */
export type QuotaLedgerOptions = {
	/** Whether the whole fleet starts for the first time, so that nobody has spent anything yet. */
	readonly isFirstStart: boolean;
	/** Start of the process, in milliseconds on its steady clock. */
	readonly now: number;
	/** Units beyond rate and burst that the platform tolerates over all hosts. */
	readonly slackUnits: () => number;
};

/**
 * Rates of customers. Each customer's rate is kept by one owner among the entries, which others ask. A new owner
 * goes on from the level that it last heard; where it heard none, it starts empty.
 */
export class QuotaLedger {
	static create(options: QuotaLedgerOptions): QuotaLedger {
		return new QuotaLedger(options);
	}

	private readonly _owned = new Map<string, TokenBucket>();
	private readonly _unowned = new Map<string, TokenBucket>();
	private readonly _heard = new Map<string, HeardLevel>();
	private _isFirstStart: boolean;
	private _startedAt: number;
	private _hasStoodStill = false;

	private constructor(private readonly _options: QuotaLedgerOptions) {
		this._isFirstStart = _options.isFirstStart;
		this._startedAt = _options.now;
	}

	/** Spends units as the customer's owner. */
	take(customer: CustomerRule, units: number, now: number): QuotaGrant {
		if (customer.unitsPerSecond <= 0) {
			return {kind: 'granted'};
		}

		const limit = limitOf(customer);
		let bucket = this._owned.get(customer.name);
		if (bucket === undefined) {
			bucket = this._startBucket(customer.name, limit, now);
			this._owned.set(customer.name, bucket);
		}

		return spend(bucket, limit, units, now);
	}

	/** Spends units while no owner can be asked, out of the small part that is kept for this. */
	takeUnowned(
		customer: CustomerRule,
		units: number,
		entryCount: number,
		now: number,
	): QuotaGrant {
		const limit = limitOf(customer);
		const share: BucketLimit = {
			tokensPerMs: (limit.tokensPerMs * unownedRateShare) / entryCount,
			burst: (this._options.slackUnits() * unownedSlackShare) / entryCount,
		};
		let bucket = this._unowned.get(customer.name);
		if (bucket === undefined) {
			bucket = TokenBucket.create(share, share.burst, now);
			this._unowned.set(customer.name, bucket);
		}

		return spend(bucket, share, units, now);
	}

	/** Takes back units of a request that did not run. */
	giveBack(customer: string, units: number, now: number): void {
		const bucket = this._owned.get(customer);
		bucket?.settle(now);
		bucket?.absorb(units);
	}

	/** Levels of the customers that this process owns. */
	levels(now: number): readonly QuotaLevel[] {
		return [...this._owned].map(([customer, bucket]) => {
			bucket.settle(now);
			return {customer, level: bucket.available};
		});
	}

	/** Another entry owns these customers. */
	hear(levels: readonly QuotaLevel[], now: number): void {
		for (const {customer, level} of levels) {
			this._owned.delete(customer);
			this._heard.set(customer, {level, at: now});
		}
	}

	/** This process stood still, and others may have spent meanwhile: it goes on with nothing. */
	forget(now: number): void {
		this._isFirstStart = false;
		this._startedAt = now;
		this._hasStoodStill = true;
		this._heard.clear();
		for (const [customer, bucket] of this._owned) {
			this._owned.set(customer, TokenBucket.create(bucket.limit, 0, now));
		}
	}

	private _startBucket(
		customer: string,
		limit: BucketLimit,
		now: number,
	): TokenBucket {
		const heard = this._heard.get(customer);
		if (heard !== undefined && now - heard.at < heardLevelLifetimeMs) {
			return TokenBucket.create(limit, heard.level, heard.at);
		}

		if (heard !== undefined) {
			return TokenBucket.create(limit, 0, now);
		}

		// Entries that are there tell their levels within the silence: a rate of which nobody told was not spent.
		const accruesFrom = Math.max(this._startedAt, now - untoldAccrualMs);
		return this._isFirstStart
			? TokenBucket.create(limit, limit.burst, now)
			: TokenBucket.create(limit, this._untoldUnits, accruesFrom);
	}

	/** Units with which a rate starts of which nobody told. */
	private get _untoldUnits(): number {
		return this._hasStoodStill
			? 0
			: this._options.slackUnits() * (1 - unownedSlackShare);
	}
}

function limitOf({unitsPerSecond, burstUnits}: CustomerRule): BucketLimit {
	return {tokensPerMs: unitsPerSecond / 1000, burst: burstUnits};
}

function spend(
	bucket: TokenBucket,
	limit: BucketLimit,
	units: number,
	now: number,
): QuotaGrant {
	const hasChanged =
		bucket.limit.burst !== limit.burst ||
		bucket.limit.tokensPerMs !== limit.tokensPerMs;
	if (hasChanged) {
		bucket.setLimit(limit, now);
	} else {
		bucket.settle(now);
	}

	// A request beyond the whole burst is let through when the bucket is full, and is owed afterwards.
	const needed = Math.min(units, limit.burst);
	if (bucket.level < needed) {
		const retryAfterMs = Math.ceil(
			(needed - bucket.level) / Math.max(limit.tokensPerMs, 1e-6),
		);
		return {kind: 'refused', retryAfterMs, level: bucket.available};
	}

	bucket.hold(units);
	bucket.spendHold(units, now);
	return {kind: 'granted'};
}
