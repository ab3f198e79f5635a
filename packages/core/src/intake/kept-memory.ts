import {chooseYielding} from './choose-yielding.js';
import {
	freedShare,
	largeShare,
	overloadRetryMs,
	releaseSampleMs,
	smallBytes,
} from './constants.js';
import type {Holding} from './types.js';

/** Options of `KeptMemory`. */
export type KeptMemoryOptions<Owner> = {
	readonly maxBytes: () => number;
	/** The present time, in milliseconds. */
	readonly now: number;
	/** How far an owner's request is. */
	readonly stateOf: (owner: Owner) => Pick<Holding, 'stage' | 'since'>;
};

/** Counts the memory that is kept for callers, and decides who yields when its limit is reached. */
export class KeptMemory<Owner> {
	static create<Owner>(options: KeptMemoryOptions<Owner>): KeptMemory<Owner> {
		return new KeptMemory(options);
	}

	private readonly _bytesOf = new Map<Owner, number>();
	private _bytes = 0;
	/** Bytes of the owners for which more is kept than for a small request. */
	private _largeBytes = 0;
	/** Bytes that became free since the start, and at the last sample of their pace. */
	private _released = 0;
	private _sampledReleased = 0;
	private _sampledAt: number;
	private _releasedPerMs = 0;

	private constructor(private readonly _options: KeptMemoryOptions<Owner>) {
		this._sampledAt = _options.now;
	}

	/** Bytes that are kept for all owners. */
	get bytes(): number {
		return this._bytes;
	}

	bytesOf(owner: Owner): number {
		return this._bytesOf.get(owner) ?? 0;
	}

	/**
	 * Sets what is kept for an owner, zero for nothing.
	 *
	 * @returns whether some owners have to yield for it
	 */
	set(owner: Owner, bytes: number): boolean {
		const before = this.bytesOf(owner);
		this._bytes += bytes - before;
		this._largeBytes += largePart(bytes) - largePart(before);
		this._released += Math.max(0, before - bytes);
		if (bytes === 0) {
			this._bytesOf.delete(owner);
		} else {
			this._bytesOf.set(owner, bytes);
		}

		const maxBytes = this._options.maxBytes();
		return (
			bytes > before &&
			(this._bytes > maxBytes ||
				(isLarge(bytes) && this._largeBytes > maxBytes * largeShare))
		);
	}

	/**
	 * Chooses the owners that have to give up theirs until the limit is kept. Large requests yield to each other before they
	 * take what is left for small ones.
	 */
	chooseYielding(now: number): readonly Owner[] {
		const maxBytes = this._options.maxBytes();
		const maxLargeBytes = maxBytes * largeShare;
		const yielding = new Set<Owner>();
		const choose = (excess: number, areLarge: boolean) => {
			const chosen = chooseYielding(this._holdings(areLarge), excess, now);
			for (const {owner} of chosen) {
				yielding.add(owner);
			}
		};

		if (this._largeBytes > maxLargeBytes) {
			choose(this._largeBytes - maxLargeBytes * (1 - freedShare), true);
		}

		if (this._bytes > maxBytes) {
			choose(this._bytes - maxBytes * (1 - freedShare), false);
		}

		return [...yielding];
	}

	/**
	 * Whether a request of this size can't be kept, as others that don't yield to it keep too much.
	 *
	 * @param bytes size that its caller has announced
	 */
	isRefused(bytes: number): boolean {
		const maxBytes = this._options.maxBytes();
		const free = Math.min(
			maxBytes - this._bytes,
			isLarge(bytes)
				? maxBytes * largeShare - this._largeBytes
				: Number.POSITIVE_INFINITY,
		);
		if (bytes <= free) {
			return false;
		}

		let yielding = 0;
		for (const {stage, bytes: kept} of this._holdings(isLarge(bytes))) {
			const isYielding =
				stage === 'reading' ||
				stage === 'unread' ||
				(stage === 'waiting' && kept > bytes);
			yielding += isYielding ? kept : 0;
		}

		return bytes > free + yielding;
	}

	/** Time until about that much memory has become free, at the pace since the last sample, in milliseconds. */
	retryAfterMs(bytes: number, now: number): number {
		const elapsedMs = now - this._sampledAt;
		if (elapsedMs >= releaseSampleMs) {
			const released = this._released - this._sampledReleased;
			this._releasedPerMs = released / elapsedMs;
			this._sampledReleased = this._released;
			this._sampledAt = now;
		}

		const {min, max} = overloadRetryMs;
		const untilFreeMs =
			this._releasedPerMs === 0 ? max : bytes / this._releasedPerMs;
		return Math.min(max, Math.max(min, untilFreeMs));
	}

	private *_holdings(
		areLarge: boolean,
	): Iterable<Holding & {readonly owner: Owner}> {
		for (const [owner, bytes] of this._bytesOf) {
			if (!areLarge || isLarge(bytes)) {
				yield {owner, bytes, ...this._options.stateOf(owner)};
			}
		}
	}
}

function isLarge(bytes: number): boolean {
	return bytes > smallBytes;
}

function largePart(bytes: number): number {
	return isLarge(bytes) ? bytes : 0;
}
