import {maxCarriedLevels, transferOutstandingMs} from './constants.js';
import {ShardSelector} from './shard-selector.js';
import {TokenBucket, type BucketLimit} from './token-bucket.js';
import type {RateLimit, RateShard, ShardLevels, ShardStart} from './types.js';

/** A lease of this entry and the buckets that it may spend from under it. */
type HeldShard = {
	readonly epoch: number;
	readonly grantedAt: number;
	readonly start: ShardStart;
	readonly buckets: Map<string, TokenBucket>;
	validUntil: number;
};

/** A lease that the store has confirmed. */
export type ShardLease = {
	readonly shard: string;
	readonly epoch: number;
	/** Time of the process's monotonic clock until which the lease is valid, in milliseconds. */
	readonly validUntil: number;
	readonly start: ShardStart;
};

/** A bucket with the shard and the lease epoch that it belongs to. */
export type HeldBucket = {
	readonly shard: string;
	readonly epoch: number;
	readonly bucket: TokenBucket;
};

/** The shards that this entry holds, the customers' limits, and one bucket per customer and held shard. */
export class HeldShards {
	static create(shardsPerCustomer: number): HeldShards {
		return new HeldShards(shardsPerCustomer);
	}

	private _selector = ShardSelector.create([]);
	private readonly _held = new Map<string, HeldShard>();
	private readonly _limits = new Map<string, RateLimit>();
	private readonly _shardsOf = new Map<string, readonly string[]>();

	private readonly _shardsPerCustomer: number;

	private constructor(shardsPerCustomer: number) {
		this._shardsPerCustomer = shardsPerCustomer;
	}

	/** Replaces the list of shards. */
	setShards(shards: readonly RateShard[]): void {
		this._selector = ShardSelector.create(shards);
		this._shardsOf.clear();
	}

	limitOf(customer: string): RateLimit | undefined {
		return this._limits.get(customer);
	}

	/** The shards over which a customer's rate is split. */
	shardsOf(customer: string): readonly string[] {
		const known = this._shardsOf.get(customer);
		if (known !== undefined) {
			return known;
		}

		const chosen = this._selector.choose(customer, this._shardsPerCustomer);
		this._shardsOf.set(customer, chosen);
		return chosen;
	}

	/** Sets a customer's limit. Tokens accrue under the previous limit up to now. */
	setLimit(limit: RateLimit, now: number): void {
		const {customer} = limit;
		if (this._limits.has(customer)) {
			for (const {shard, bucket} of this._allBuckets(customer, now)) {
				bucket.setLimit(this._shardLimit(limit, shard), now);
			}
		}

		this._limits.set(customer, limit);
	}

	/** Adds a new lease or extends a renewed one. */
	grant(lease: ShardLease, now: number): void {
		const {shard, epoch, validUntil, start} = lease;
		const held = this._held.get(shard);
		if (held?.epoch === epoch) {
			held.validUntil = Math.max(held.validUntil, validUntil);
			return;
		}

		this._held.set(shard, {
			epoch,
			grantedAt: now,
			start,
			buckets: new Map(),
			validUntil,
		});
	}

	remove(shard: string): void {
		this._held.delete(shard);
	}

	/** Shortens all leases by time that the monotonic clock did not count. */
	shortenLeases(byMs: number): void {
		for (const held of this._held.values()) {
			held.validUntil -= byMs;
		}
	}

	/** The customer's buckets under leases that are valid now, with tokens accrued up to now. */
	bucketsOf(customer: string, now: number): readonly HeldBucket[] {
		return this._allBuckets(customer, now).filter(({shard, epoch}) =>
			this.isValid(shard, epoch, now),
		);
	}

	isValid(shard: string, epoch: number, now: number): boolean {
		const held = this._held.get(shard);
		return held?.epoch === epoch && now < held.validUntil;
	}

	/**
	 * The bucket of a lease epoch, with tokens accrued up to now. It is found even if the lease has expired, as long as
	 * it has not been replaced.
	 */
	find(
		customer: string,
		shard: string,
		epoch: number,
		now: number,
	): TokenBucket | undefined {
		const held = this._held.get(shard);
		const bucket =
			held?.epoch === epoch ? held.buckets.get(customer) : undefined;
		bucket?.advanceTo(now);
		return bucket;
	}

	/** Levels of the shard's buckets that are not full, for its next holder. Undefined if there are too many. */
	levelsOf(shard: string, now: number): ShardLevels | undefined {
		const levels: Record<string, number> = {};
		let count = 0;
		for (const customer of this._limits.keys()) {
			if (!this.shardsOf(customer).includes(shard)) {
				continue;
			}

			const bucket = this._bucket(customer, shard, now);
			if (bucket !== undefined && !bucket.isFull) {
				levels[customer] = bucket.available;
				count++;
			}
		}

		return count > maxCarriedLevels ? undefined : levels;
	}

	/** Number of buckets in memory, for measurements. */
	get bucketCount(): number {
		let count = 0;
		for (const held of this._held.values()) {
			count += held.buckets.size;
		}

		return count;
	}

	private _allBuckets(customer: string, now: number): readonly HeldBucket[] {
		const found: HeldBucket[] = [];
		for (const shard of this.shardsOf(customer)) {
			const bucket = this._bucket(customer, shard, now);
			const held = this._held.get(shard);
			if (bucket !== undefined && held !== undefined) {
				found.push({shard, epoch: held.epoch, bucket});
			}
		}

		return found;
	}

	private _bucket(
		customer: string,
		shard: string,
		now: number,
	): TokenBucket | undefined {
		const held = this._held.get(shard);
		const limit = this._limits.get(customer);
		if (held === undefined || limit === undefined) {
			return undefined;
		}

		const known = held.buckets.get(customer);
		const bucket = known ?? this._createBucket(held, shard, limit);
		held.buckets.set(customer, bucket);
		bucket.advanceTo(now);
		return bucket;
	}

	private _createBucket(
		held: HeldShard,
		shard: string,
		limit: RateLimit,
	): TokenBucket {
		const part = this._shardLimit(limit, shard);
		const {start, grantedAt} = held;
		if (start.kind === 'full') {
			return TokenBucket.create(part, part.burst, grantedAt);
		}

		// Transfers that the previous holder sent may still be spent, so accrual starts after they have expired.
		const accruesFrom = grantedAt + transferOutstandingMs;
		const level =
			start.kind === 'empty' ? 0 : (start.levels[limit.customer] ?? part.burst);
		return TokenBucket.create(part, level, accruesFrom);
	}

	/** A shard's part of a customer's limit. The parts of the burst are whole tokens and add up to the burst. */
	private _shardLimit(limit: RateLimit, shard: string): BucketLimit {
		const shards = this.shardsOf(limit.customer);
		const count = shards.length;
		const remainder = limit.burstTokens % count;
		const rank = shards.indexOf(shard);
		return {
			tokensPerMs: limit.tokensPerSecond / 1000 / count,
			burst: Math.floor(limit.burstTokens / count) + (rank < remainder ? 1 : 0),
		};
	}
}
