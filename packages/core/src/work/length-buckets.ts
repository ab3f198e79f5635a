/** Buckets per octave of lengths. A bucket is 19% wide, so its middle is off by at most 10%. */
const bucketsPerOctave = 4;

/** Number of buckets: 14 octaves, up to 16,384 events. Longer outputs count in the last one. */
export const lengthBuckets = 14 * bucketsPerOctave;

/** Least length of each bucket, and that of one more. */
const edges = Array.from(
	{length: lengthBuckets + 1},
	(_, bucket) => 2 ** (bucket / bucketsPerOctave),
);

/** Bucket of a length, which is at least 1. */
export function bucketOfLength(length: number): number {
	return Math.min(
		lengthBuckets - 1,
		Math.floor(octaves(Math.max(1, length)) * bucketsPerOctave),
	);
}

/** Least length in a bucket, as a fraction of events. */
export function bucketStart(bucket: number): number {
	return edges[bucket]!;
}

/** Bucket of a ratio of two lengths. Ratios from 2^-7 to 2^7 are told apart; 1 is in the middle of its bucket. */
export function bucketOfRatio(ratio: number): number {
	const bucket = Math.round(octaves(ratio) * bucketsPerOctave);
	return Math.min(lengthBuckets - 1, Math.max(0, bucket + lengthBuckets / 2));
}

/** Ratio in the middle of a bucket. */
export function ratioOfBucket(bucket: number): number {
	return 2 ** ((bucket - lengthBuckets / 2) / bucketsPerOctave);
}

/** Logarithm of 2, without the rounding error that puts powers of two into the bucket below. */
function octaves(value: number): number {
	return Math.log2(value) + 1e-9;
}
