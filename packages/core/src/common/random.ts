// Hash and random functions work on bits.
/* eslint-disable no-bitwise */
/** Generator of numbers in [0, 1). Code that needs randomness takes one as a parameter, so a seed reproduces a run. */
export type Random = () => number;

const uint32Range = 2 ** 32;

/** Creates a seeded pseudorandom number generator (mulberry32). The same seed gives the same numbers. */
export function createRandom(seed: number): Random {
	let state = Math.trunc(seed) % uint32Range;
	return () => {
		state = (state + 0x6d_2b_79_f5) % uint32Range;
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / uint32Range;
	};
}
