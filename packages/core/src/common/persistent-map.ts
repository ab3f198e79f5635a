import {hashString} from './rendezvous.js';

const initialBucketCount = 8;
/** Average number of entries per bucket above which the number of buckets is doubled. */
const maxEntriesPerBucket = 16;
/** Number of changes from which a rebuild is cheaper than one copy per change. */
const rebuildThreshold = 256;

type Bucket<V> = ReadonlyMap<string, V>;

/**
 * An immutable hash map with string keys. A changed copy shares all but one bucket with the original, so a small change
 * of a large map is cheap and readers of earlier versions are not affected.
 */
export class PersistentMap<V> {
	/** Returns an empty map. */
	public static empty<V>(): PersistentMap<V> {
		return new PersistentMap<V>(emptyBuckets(initialBucketCount), 0);
	}

	/** Returns a map of the entries. A later entry replaces an earlier one with the same key. */
	public static from<V>(
		entries: Iterable<readonly [string, V]>,
	): PersistentMap<V> {
		const unique = new Map(entries);
		return buildMap(unique, bucketCountFor(unique.size));
	}

	/** @internal */
	public constructor(
		private readonly _buckets: ReadonlyArray<Bucket<V> | undefined>,
		public readonly size: number,
	) {}

	public get(key: string): V | undefined {
		return this._buckets[bucketOf(key, this._buckets.length)]?.get(key);
	}

	public has(key: string): boolean {
		return (
			this._buckets[bucketOf(key, this._buckets.length)]?.has(key) ?? false
		);
	}

	/** Returns a copy of the map with the key set to the value. */
	public set(key: string, value: V): PersistentMap<V> {
		const index = bucketOf(key, this._buckets.length);
		const old = this._buckets[index];
		const size = old?.has(key) ? this.size : this.size + 1;
		const bucket = new Map(old).set(key, value);
		const changed = new PersistentMap(this._buckets.with(index, bucket), size);
		return size > this._buckets.length * maxEntriesPerBucket
			? buildMap(changed.entries(), this._buckets.length * 2)
			: changed;
	}

	/** Returns a copy of the map without the key, or the map itself if it lacks the key. */
	public delete(key: string): PersistentMap<V> {
		const index = bucketOf(key, this._buckets.length);
		const old = this._buckets[index];
		if (!old?.has(key)) {
			return this;
		}

		const bucket = new Map(old);
		bucket.delete(key);
		return new PersistentMap(
			this._buckets.with(index, bucket.size === 0 ? undefined : bucket),
			this.size - 1,
		);
	}

	/** Returns a map with all changes applied. A value of undefined deletes its key. */
	public update(changes: ReadonlyMap<string, V | undefined>): PersistentMap<V> {
		return changes.size < rebuildThreshold
			? this._updateEach(changes)
			: this._rebuild(changes);
	}

	public *entries(): IterableIterator<readonly [string, V]> {
		for (const bucket of this._buckets) {
			if (bucket) {
				yield* bucket;
			}
		}
	}

	public *values(): IterableIterator<V> {
		for (const bucket of this._buckets) {
			if (bucket) {
				yield* bucket.values();
			}
		}
	}

	/** Returns the keys in ascending order. */
	public sortedKeys(): readonly string[] {
		return [...this.entries()].map(([key]) => key).toSorted();
	}

	private _updateEach(
		changes: ReadonlyMap<string, V | undefined>,
	): PersistentMap<V> {
		let map = this as PersistentMap<V>;
		for (const [key, value] of changes) {
			map = value === undefined ? map.delete(key) : map.set(key, value);
		}

		return map;
	}

	private _rebuild(
		changes: ReadonlyMap<string, V | undefined>,
	): PersistentMap<V> {
		const entries = new Map(this.entries());
		for (const [key, value] of changes) {
			if (value === undefined) {
				entries.delete(key);
			} else {
				entries.set(key, value);
			}
		}

		return PersistentMap.from(entries);
	}
}

function emptyBuckets<V>(count: number): Array<Bucket<V> | undefined> {
	return Array.from<Bucket<V> | undefined>({length: count}).fill(undefined);
}

function bucketOf(key: string, bucketCount: number): number {
	return hashString(key) % bucketCount;
}

function bucketCountFor(size: number): number {
	let count = initialBucketCount;
	while (size > count * maxEntriesPerBucket) {
		count *= 2;
	}

	return count;
}

function buildMap<V>(
	entries: Iterable<readonly [string, V]>,
	bucketCount: number,
): PersistentMap<V> {
	const buckets: Array<Map<string, V> | undefined> = Array.from({
		length: bucketCount,
	});
	let size = 0;
	for (const [key, value] of entries) {
		const index = bucketOf(key, bucketCount);
		const bucket = buckets[index] ?? new Map<string, V>();
		buckets[index] = bucket;
		bucket.set(key, value);
		size++;
	}

	return new PersistentMap<V>(buckets, size);
}
