import {lengthBuckets} from './length-buckets.js';

/**
 * Decaying histograms of logarithmic buckets by key. All lie in one array that is allocated once, so the memory does not
 * grow with the number of keys: the least recently noted key gives its place to a new one.
 */
export class LengthHistograms {
	/** @param decayMs time constant with which the counts decay, in milliseconds */
	static create(options: {
		readonly maxKeys: number;
		readonly decayMs: number;
	}): LengthHistograms {
		return new LengthHistograms(options);
	}

	private readonly _maxKeys: number;
	private readonly _decayMs: number;
	private readonly _counts: Float32Array;
	/** Sum of each histogram's counts as of the time it was last noted. */
	private readonly _totals: Float64Array;
	private readonly _notedAt: Float64Array;
	/** Place of each key, the least recently noted first. */
	private readonly _places = new Map<string, number>();

	private constructor({
		maxKeys,
		decayMs,
	}: {
		readonly maxKeys: number;
		readonly decayMs: number;
	}) {
		this._maxKeys = maxKeys;
		this._decayMs = decayMs;
		this._counts = new Float32Array(maxKeys * lengthBuckets);
		this._totals = new Float64Array(maxKeys);
		this._notedAt = new Float64Array(maxKeys);
	}

	/** Number of keys with a histogram. */
	get size(): number {
		return this._places.size;
	}

	/** Counts one value in a bucket. */
	note(key: string, bucket: number, now: number): void {
		const place = this._decay(key, now);
		this._counts[place * lengthBuckets + bucket]! += 1;
		this._totals[place]! += 1;
	}

	/**
	 * Counts one value whose bucket is not known.
	 *
	 * @param shares how likely each bucket is; they add up to 1
	 */
	noteSpread(key: string, shares: ArrayLike<number>, now: number): void {
		const place = this._decay(key, now);
		for (let bucket = 0; bucket < lengthBuckets; bucket++) {
			this._counts[place * lengthBuckets + bucket]! += shares[bucket]!;
		}

		this._totals[place]! += 1;
	}

	/** Number of values that count for a key; old ones count for less. */
	total(key: string, now: number): number {
		const place = this._places.get(key);
		return place === undefined
			? 0
			: this._totals[place]! * this._rest(place, now);
	}

	/**
	 * Mixes a key's shares into those of a wider group, by the number of its values. So a key counts as far as it has data.
	 *
	 * @param shares shares of the wider group, which are replaced
	 * @param groupWeight number of values that the wider group counts for
	 */
	mixInto(
		key: string,
		shares: Float64Array,
		groupWeight: number,
		now: number,
	): void {
		const place = this._places.get(key);
		if (place === undefined) {
			return;
		}

		const rest = this._rest(place, now);
		const sum = groupWeight + this._totals[place]! * rest;
		const offset = place * lengthBuckets;
		for (let bucket = 0; bucket < lengthBuckets; bucket++) {
			shares[bucket] =
				(groupWeight * shares[bucket]! +
					rest * this._counts[offset + bucket]!) /
				sum;
		}
	}

	/** Brings the counts of a key to the present time, and returns its place. */
	private _decay(key: string, now: number): number {
		const place = this._placeOf(key);
		const rest = this._rest(place, now);
		const offset = place * lengthBuckets;
		for (let i = offset; i < offset + lengthBuckets; i++) {
			this._counts[i]! *= rest;
		}

		this._totals[place]! *= rest;
		this._notedAt[place] = now;
		return place;
	}

	private _placeOf(key: string): number {
		const known = this._places.get(key);
		if (known !== undefined) {
			this._places.delete(key);
			this._places.set(key, known);
			return known;
		}

		let place = this._places.size;
		if (place === this._maxKeys) {
			const [oldest, freed] = this._places.entries().next().value!;
			this._places.delete(oldest);
			this._totals[freed] = 0;
			this._counts.fill(0, freed * lengthBuckets, (freed + 1) * lengthBuckets);
			place = freed;
		}

		this._places.set(key, place);
		return place;
	}

	private _rest(place: number, now: number): number {
		return Math.exp(Math.min(0, this._notedAt[place]! - now) / this._decayMs);
	}
}
