import type {CustomerRule} from '../authority/types.js';
import {TokenBucket, type BucketLimit} from '../rate/token-bucket.js';
import {
	limitLevelLifetimeMs,
	peerLevelLifetimeMs,
	maxUnreportedAccrualMs,
	slackWindowMs,
	unknownPartRetryMs,
	unownedRateShare,
	unownedSlackShare,
} from './constants.js';
import {isServerLimit} from './server-limit-rules.js';
import {ReturnTimes} from './return-times.js';

/** Answer to a request to spend units of a customer's rate. */
export type QuotaGrant =
	| {readonly kind: 'granted'}
	| {
			readonly kind: 'refused';
			readonly retryAfterMs: number;
			/** Units left in the customer's bucket. */
			readonly level: number;
	  };

/** Units that a customer has left. */
export type QuotaLevel = {
	readonly customer: string;
	readonly level: number;
};

/** Rate below which the time until units accrue is not told apart, in units per millisecond: a unit in 17 minutes. */
const minTokensPerMs = 1e-6;

/** A level reported by a peer, with the time at which it arrived, in milliseconds. */
type PeerLevel = {readonly level: number; readonly at: number};

/** Settings of the ledger. */
export type QuotaLedgerOptions = {
	/** Whether the whole fleet starts for the first time, so no units have been spent yet. */
	readonly isFirstStart: boolean;
	/** Start of the process, in milliseconds on its monotonic clock. */
	readonly now: number;
	/** Units beyond rate and burst that the platform allows all hosts together to spend. */
	readonly slackUnits: () => number;
};

/**
 * Token buckets of the customers' rates. Each customer's bucket is kept by one owner among the entries, which the other
 * entries ask for units. A new owner continues from the level that the previous owner reported last, and starts empty
 * if that level is too old. Without a reported level it starts with part of the slack, or with the whole burst at the
 * first start of the fleet. A restarted process starts without slack for a time, as the one before it may have granted it.
 */
export class QuotaLedger {
	static create(options: QuotaLedgerOptions): QuotaLedger {
		return new QuotaLedger(options);
	}

	/** Buckets of the customers that this process owns, by customer. */
	private readonly _owned = new Map<string, TokenBucket>();
	/** Buckets that this process spends from while no owner answers, by customer. */
	private readonly _unowned = new Map<string, TokenBucket>();
	/** When refused requests are told to come back, by customer that this process owns. */
	private readonly _returnTimes = new Map<string, ReturnTimes>();
	private readonly _peerLevels = new Map<string, PeerLevel>();
	private _isFirstStart: boolean;
	private _startedAt: number;
	/** Whether the process was paused, so that peers may have spent units meanwhile. */
	private _hasPaused = false;

	private constructor(private readonly _options: QuotaLedgerOptions) {
		this._isFirstStart = _options.isFirstStart;
		this._startedAt = _options.now;
	}

	/** Spends units as the customer's owner. Always grants a customer without a rate limit. */
	take(customer: CustomerRule, units: number, now: number): QuotaGrant {
		if (customer.unitsPerSecond <= 0) {
			return {kind: 'granted'};
		}

		const limit = bucketLimitOf(customer);
		let bucket = this._owned.get(customer.name);
		if (bucket === undefined) {
			bucket = this._startBucket(customer.name, limit, now);
			this._owned.set(customer.name, bucket);
		}

		const grant = spend(bucket, limit, units, now);
		return grant.kind === 'refused'
			? {
					...grant,
					retryAfterMs: this._returnTimesOf(customer.name).plan(
						units,
						Math.min(units, limit.burst) - bucket.level,
						Math.max(limit.tokensPerMs, minTokensPerMs),
						now,
					),
				}
			: grant;
	}

	/**
	 * Spends units while no owner answers, from this entry's part of the share reserved for that.
	 *
	 * @param entryCount number of entries that may spend units in the same way; undefined if it is not known
	 */
	takeWithoutOwner(
		customer: CustomerRule,
		units: number,
		entryCount: number | undefined,
		now: number,
	): QuotaGrant {
		if (entryCount === undefined) {
			return {kind: 'refused', retryAfterMs: unknownPartRetryMs, level: 0};
		}

		const limit = bucketLimitOf(customer);
		const share: BucketLimit = {
			tokensPerMs: (limit.tokensPerMs * unownedRateShare) / entryCount,
			burst: (this._options.slackUnits() * unownedSlackShare) / entryCount,
		};
		let bucket = this._unowned.get(customer.name);
		if (bucket === undefined) {
			const level = this._mayUseSlack(now) ? share.burst : 0;
			bucket = TokenBucket.create(share, level, now);
			this._unowned.set(customer.name, bucket);
		}

		return spend(bucket, share, units, now);
	}

	/** Returns units of a request that did not run. */
	returnUnits(customer: string, units: number, now: number): void {
		const bucket = this._owned.get(customer);
		bucket?.advanceTo(now);
		bucket?.deposit(units);
	}

	/** Levels of the customers that this process owns. */
	levels(now: number): readonly QuotaLevel[] {
		this._forgetUnusedLimits(now);
		return [...this._owned].map(([customer, bucket]) => {
			bucket.advanceTo(now);
			return {customer, level: bucket.available};
		});
	}

	/**
	 * Records the levels of customers that another entry owns, and gives up owning them here. If both entries have granted
	 * units, the lower level counts.
	 */
	recordPeerLevels(levels: readonly QuotaLevel[], now: number): void {
		for (const {customer, level} of levels) {
			const bucket = this._owned.get(customer);
			bucket?.advanceTo(now);
			this._owned.delete(customer);
			this._peerLevels.set(customer, {
				level: Math.min(level, bucket?.level ?? level),
				at: now,
			});
		}
	}

	/**
	 * Discards reported levels and empties the owned buckets after the process was paused, as other entries may have
	 * spent the units meanwhile.
	 */
	resetAfterPause(now: number): void {
		this._isFirstStart = false;
		this._startedAt = now;
		this._hasPaused = true;
		this._peerLevels.clear();
		for (const [customer, bucket] of this._owned) {
			this._owned.set(customer, TokenBucket.create(bucket.limit, 0, now));
		}
	}

	/** Forgets the limits of servers that are not in use: servers come and go. */
	private _forgetUnusedLimits(now: number): void {
		for (const [name, bucket] of this._owned) {
			bucket.advanceTo(now);
			if (isServerLimit(name) && bucket.isFull) {
				this._owned.delete(name);
				this._returnTimes.delete(name);
			}
		}

		for (const [name, {at}] of this._peerLevels) {
			if (isServerLimit(name) && now - at > limitLevelLifetimeMs) {
				this._peerLevels.delete(name);
			}
		}
	}

	private _returnTimesOf(customer: string): ReturnTimes {
		let times = this._returnTimes.get(customer);
		if (times === undefined) {
			times = ReturnTimes.create();
			this._returnTimes.set(customer, times);
		}

		return times;
	}

	private _startBucket(
		customer: string,
		limit: BucketLimit,
		now: number,
	): TokenBucket {
		const reported = this._peerLevels.get(customer);
		if (reported !== undefined && now - reported.at < peerLevelLifetimeMs) {
			return TokenBucket.create(limit, reported.level, reported.at);
		}

		if (reported !== undefined) {
			return TokenBucket.create(limit, 0, now);
		}

		// A live owner reports its levels within the silence timeout, so no units were spent from a rate without a reported level.
		const accruesFrom = Math.max(this._startedAt, now - maxUnreportedAccrualMs);
		return this._isFirstStart
			? TokenBucket.create(limit, limit.burst, now)
			: TokenBucket.create(limit, this._unreportedUnits(now), accruesFrom);
	}

	/** Initial units of a customer without a reported level. */
	private _unreportedUnits(now: number): number {
		return this._hasPaused || !this._mayUseSlack(now)
			? 0
			: this._options.slackUnits() * (1 - unownedSlackShare);
	}

	private _mayUseSlack(now: number): boolean {
		return this._isFirstStart || now - this._startedAt >= slackWindowMs;
	}
}

function bucketLimitOf({
	unitsPerSecond,
	burstUnits,
}: CustomerRule): BucketLimit {
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
		bucket.advanceTo(now);
	}

	// A request larger than the burst is granted when the bucket is full. The level then becomes negative.
	const needed = Math.min(units, limit.burst);
	if (bucket.level < needed) {
		const retryAfterMs = Math.ceil(
			(needed - bucket.level) / Math.max(limit.tokensPerMs, minTokensPerMs),
		);
		return {kind: 'refused', retryAfterMs, level: bucket.available};
	}

	bucket.hold(units);
	bucket.spendHold(units, now);
	return {kind: 'granted'};
}
