import {chooseYielding} from './choose-yielding.js';
import {
	freedShare,
	largeShare,
	overloadRetryMs,
	releaseWindowMs,
	smallBytes,
} from './constants.js';
import type {Holding} from './types.js';

/** Options of `KeptMemory`. */
export type KeptMemoryOptions<Owner> = {
	readonly maxBytes: () => number;
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
	/** Bytes that became free, decayed over time. */
	private _released = 0;
	private _releasedAt = 0;

	private constructor(private readonly _options: KeptMemoryOptions<Owner>) {}

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
	 * @returns the owners that have to give up theirs; the owner itself may be one of them
	 */
	set(owner: Owner, bytes: number, now: number): readonly Owner[] {
		const before = this.bytesOf(owner);
		this._bytes += bytes - before;
		this._largeBytes += largePart(bytes) - largePart(before);
		if (bytes === 0) {
			this._bytesOf.delete(owner);
		} else {
			this._bytesOf.set(owner, bytes);
		}

		if (bytes < before) {
			this._noteReleased(before - bytes, now);
		}

		return bytes > before ? this._chooseYielding(now) : [];
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

	/** Time until about that much memory has become free, at the present pace, in milliseconds. */
	retryAfterMs(bytes: number, now: number): number {
		const perMs = this._releasedUntil(now) / releaseWindowMs;
		const {min, max} = overloadRetryMs;
		return Math.min(max, Math.max(min, perMs === 0 ? max : bytes / perMs));
	}

	/** Large requests yield to each other before they take what is left for small ones. */
	private _chooseYielding(now: number): readonly Owner[] {
		const maxBytes = this._options.maxBytes();
		const maxLargeBytes = maxBytes * largeShare;
		const yielding = new Set<Owner>();
		const choose = (excess: number, areLarge: boolean) => {
			for (const {owner} of chooseYielding(
				this._holdings(areLarge),
				excess,
				now,
			)) {
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

	private *_holdings(
		areLarge: boolean,
	): Iterable<Holding & {readonly owner: Owner}> {
		for (const [owner, bytes] of this._bytesOf) {
			if (!areLarge || isLarge(bytes)) {
				yield {owner, bytes, ...this._options.stateOf(owner)};
			}
		}
	}

	private _noteReleased(bytes: number, now: number): void {
		this._released = this._releasedUntil(now) + bytes;
		this._releasedAt = now;
	}

	private _releasedUntil(now: number): number {
		const elapsedMs = Math.max(0, now - this._releasedAt);
		return this._released * Math.exp(-elapsedMs / releaseWindowMs);
	}
}

function isLarge(bytes: number): boolean {
	return bytes > smallBytes;
}

function largePart(bytes: number): number {
	return isLarge(bytes) ? bytes : 0;
}
