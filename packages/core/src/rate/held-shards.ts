import {maxCarriedLevels, transferOutstandingMs} from './constants.js';
import {ShardChoice} from './shard-choice.js';
import {TokenBucket, type BucketLimit} from './token-bucket.js';
import type {RateLimit, RateShard, ShardLevels, ShardStart} from './types.js';

/** A lease that this entry has and the buckets that it lets it spend from. */
type HeldShard = {
	readonly epoch: number;
	readonly grantedAt: number;
	readonly start: ShardStart;
	readonly buckets: Map<string, TokenBucket>;
	validUntil: number;
};

/** A lease that the store confirmed. */
export type ShardLease = {
	readonly shard: string;
	readonly epoch: number;
	/** Time of the process's monotonic clock until which the lease surely holds. */
	readonly validUntil: number;
	readonly start: ShardStart;
};

/** A bucket together with the shard and lease that it belongs to. */
export type HeldBucket = {
	readonly shard: string;
	readonly epoch: number;
	readonly bucket: TokenBucket;
};

/** The shards that this entry holds, the customers' limits and the buckets that follow from both. */
export class HeldShards {
	static create(shardsPerCustomer: number): HeldShards {
		return new HeldShards(shardsPerCustomer);
	}

	private _choice = ShardChoice.create([]);
	private readonly _held = new Map<string, HeldShard>();
	private readonly _limits = new Map<string, RateLimit>();
	private readonly _shardsOf = new Map<string, readonly string[]>();

	private readonly _shardsPerCustomer: number;

	private constructor(shardsPerCustomer: number) {
		this._shardsPerCustomer = shardsPerCustomer;
	}

	/** Takes the list of shards. */
	learnShards(shards: readonly RateShard[]): void {
		this._choice = ShardChoice.create(shards);
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

		const chosen = this._choice.choose(customer, this._shardsPerCustomer);
		this._shardsOf.set(customer, chosen);
		return chosen;
	}

	/** Takes a new limit. Tokens that accrued until now did so under the old one. */
	setLimit(limit: RateLimit, now: number): void {
		const {customer} = limit;
		if (this._limits.has(customer)) {
			for (const {shard, bucket} of this._allBuckets(customer, now)) {
				bucket.setLimit(this._part(limit, shard), now);
			}
		}

		this._limits.set(customer, limit);
	}

	/** Takes a new or renewed lease. */
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

	lose(shard: string): void {
		this._held.delete(shard);
	}

	/** Shortens all leases. */
	advanceLeases(byMs: number): void {
		for (const held of this._held.values()) {
			held.validUntil -= byMs;
		}
	}

	/** The customer's buckets under leases that are valid now, up to date. */
	bucketsOf(customer: string, now: number): readonly HeldBucket[] {
		return this._allBuckets(customer, now).filter(({shard, epoch}) =>
			this.isValid(shard, epoch, now),
		);
	}

	isValid(shard: string, epoch: number, now: number): boolean {
		const held = this._held.get(shard);
		return held?.epoch === epoch && now < held.validUntil;
	}

	/** A bucket under the lease that it was used under, up to date, even if the lease needs renewal. */
	find(
		customer: string,
		shard: string,
		epoch: number,
		now: number,
	): TokenBucket | undefined {
		const held = this._held.get(shard);
		const bucket =
			held?.epoch === epoch ? held.buckets.get(customer) : undefined;
		bucket?.settle(now);
		return bucket;
	}

	/** Levels of the buckets that are not full, to be carried on by the next holder. Undefined: too many. */
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

	/** Entries of state, for measurements. */
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
		bucket.settle(now);
		return bucket;
	}

	private _createBucket(
		held: HeldShard,
		shard: string,
		limit: RateLimit,
	): TokenBucket {
		const part = this._part(limit, shard);
		const {start, grantedAt} = held;
		if (start.kind === 'full') {
			return TokenBucket.create(part, part.burst, grantedAt);
		}

		// Tokens that the last holder sent may still be spent elsewhere.
		const accruesFrom = grantedAt + transferOutstandingMs;
		const level =
			start.kind === 'empty' ? 0 : (start.levels[limit.customer] ?? part.burst);
		return TokenBucket.create(part, level, accruesFrom);
	}

	/** A shard's part of a customer's limit. The parts of the burst are whole tokens that add up to it. */
	private _part(limit: RateLimit, shard: string): BucketLimit {
		const shards = this.shardsOf(limit.customer);
		const count = shards.length;
		const surplus = limit.burstTokens % count;
		const rank = shards.indexOf(shard);
		return {
			tokensPerMs: limit.tokensPerSecond / 1000 / count,
			burst: Math.floor(limit.burstTokens / count) + (rank < surplus ? 1 : 0),
		};
	}
}
