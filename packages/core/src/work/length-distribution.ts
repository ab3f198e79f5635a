import {bucketOfLength, bucketStart, lengthBuckets} from './length-buckets.js';

/** How long the output of one request may become, in events. Answers for what is left in constant time. */
export class LengthDistribution {
	/**
	 * @param shares how likely each bucket of lengths is
	 * @param maxLength longest possible output
	 */
	static create(
		shares: ArrayLike<number>,
		maxLength = Number.POSITIVE_INFINITY,
	): LengthDistribution {
		return new LengthDistribution(shares, maxLength);
	}

	private readonly _shares: Float32Array;
	/** Likelihood of all buckets from one on. */
	private readonly _tails = new Float32Array(lengthBuckets + 1);
	/** Sum of the lengths of all buckets from one on, by their likelihood. */
	private readonly _sums = new Float32Array(lengthBuckets + 1);

	private constructor(
		shares: ArrayLike<number>,
		private readonly _maxLength: number,
	) {
		this._shares = Float32Array.from(shares);
		for (let bucket = lengthBuckets - 1; bucket >= 0; bucket--) {
			const middle = (bucketStart(bucket) + bucketStart(bucket + 1)) / 2;
			const share = this._shares[bucket]!;
			this._tails[bucket] = this._tails[bucket + 1]! + share;
			this._sums[bucket] =
				this._sums[bucket + 1]! + share * Math.min(middle, _maxLength);
		}
	}

	/** Mean length. */
	get mean(): number {
		return this._sums[0]! / this._tails[0]!;
	}

	/** How likely the output is longer than the length, if all buckets together are 1. */
	survival(length: number): number {
		if (length >= this._maxLength) {
			return 0;
		}

		const bucket = bucketOfLength(length);
		return (
			(this._tails[bucket + 1]! +
				this._shares[bucket]! * shareAbove(bucket, length)) /
			this._tails[0]!
		);
	}

	/**
	 * Expected number of events that follow, given what was generated already. An output that goes on is at least one event
	 * longer.
	 */
	remaining(generated: number): number {
		if (generated < 1) {
			return Math.max(1, this.mean);
		}

		const bucket = bucketOfLength(generated);
		const share = this._shares[bucket]! * shareAbove(bucket, generated);
		const tail = this._tails[bucket + 1]! + share;
		const middle = (generated + bucketStart(bucket + 1)) / 2;
		const mean =
			tail > 0
				? (this._sums[bucket + 1]! + share * middle) / tail
				: // Nothing so long was seen or assumed. It is as likely to go on as to end.
					2 * generated;
		return Math.max(1, Math.min(mean, this._maxLength) - generated);
	}

	/** Length that the output does not exceed with the given likelihood, given what was generated already. */
	quantile(likelihood: number, generated = 0): number {
		const first = generated < 1 ? 0 : bucketOfLength(generated);
		let left = this._tails[first]! * (1 - likelihood);
		let bucket = lengthBuckets - 1;
		while (bucket > first && left > this._shares[bucket]!) {
			left -= this._shares[bucket]!;
			bucket--;
		}

		return Math.max(
			generated,
			Math.min(this._maxLength, bucketStart(bucket + 1)),
		);
	}

	/** How likely each bucket of the whole length is, given what was generated already. */
	sharesFrom(generated: number): Float32Array {
		const first = bucketOfLength(generated);
		const shares = this._shares.map((share, bucket) =>
			bucket < first ? 0 : share,
		);
		const tail = this._tails[first]!;
		if (tail === 0) {
			shares[first] = 1;
			return shares;
		}

		return shares.map(share => share / tail);
	}
}

/** Share of a bucket that lies above a length in it. */
function shareAbove(bucket: number, length: number): number {
	const start = bucketStart(bucket);
	const end = bucketStart(bucket + 1);
	return Math.max(0, Math.min(1, (end - length) / (end - start)));
}
