import {hashString, rendezvousScore} from '../common/rendezvous.js';
import type {RateShard} from './types.js';

/** Chooses the shards of each customer. The choice depends on nothing but the customer's name and the list of shards. */
export class ShardChoice {
	static create(shards: readonly RateShard[]): ShardChoice {
		return new ShardChoice(shards);
	}

	private readonly _shards: readonly RateShard[];
	private readonly _hashes: readonly number[];

	private constructor(shards: readonly RateShard[]) {
		this._shards = shards;
		this._hashes = shards.map(shard => hashString(shard.id));
	}

	/** The `count` best shards of a customer by rendezvous hashing, best first, in as many regions as there are. */
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
