import {hashString, rendezvousScore} from '../common/rendezvous.js';
import type {RateShard} from './types.js';

/** Selects the shards of each customer. The result depends only on the customer's name and the list of shards. */
export class ShardSelector {
	static create(shards: readonly RateShard[]): ShardSelector {
		return new ShardSelector(shards);
	}

	private readonly _shards: readonly RateShard[];
	private readonly _hashes: readonly number[];

	private constructor(shards: readonly RateShard[]) {
		this._shards = shards;
		this._hashes = shards.map(shard => hashString(shard.id));
	}

	/**
	 * Selects `count` shards of a customer by rendezvous hashing, best first. The best shard of each region comes before
	 * any second shard of a region, which spreads the customer over as many regions as possible.
	 */
	choose(customer: string, count: number): readonly string[] {
		const order = this._ranked(customer);
		const chosen: RateShard[] = [];
		const rest: RateShard[] = [];
		const regions = new Set<string>();
		for (const shard of order) {
			const isNewRegion = !regions.has(shard.region);
			regions.add(shard.region);
			(isNewRegion ? chosen : rest).push(shard);
		}

		return [...chosen, ...rest].slice(0, count).map(shard => shard.id);
	}

	private _ranked(customer: string): readonly RateShard[] {
		const customerHash = hashString(customer);
		return this._shards
			.map((shard, i) => ({
				shard,
				score: rendezvousScore(customerHash, this._hashes[i] ?? 0),
			}))
			.toSorted(
				(a, b) => b.score - a.score || (a.shard.id < b.shard.id ? -1 : 1),
			)
			.map(({shard}) => shard);
	}
}
