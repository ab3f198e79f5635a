// Hash and random functions work on bits.
/* eslint-disable no-bitwise */
const fnvOffset = 0x81_1c_9d_c5;
const fnvPrime = 0x01_00_01_93;

/** Hashes a string to an unsigned 32-bit number (FNV-1a with a final mix). Not cryptographic. */
export function hashString(text: string): number {
	let hash = fnvOffset;
	for (let i = 0; i < text.length; i++) {
		// The strings are identifiers, so UTF-16 code units work as well as code points.
		// eslint-disable-next-line unicorn/prefer-code-point
		hash = Math.imul(hash ^ text.charCodeAt(i), fnvPrime);
	}

	return mixBits(hash);
}

/** Returns a member's score for a key in rendezvous hashing. The member with the highest score owns the key. */
export function rendezvousScore(keyHash: number, memberHash: number): number {
	return mixBits(keyHash ^ Math.imul(memberHash, 0x9e_37_79_b1));
}

/**
 * Returns the `count` members with the highest scores for the key, best first.
 * Adding or removing a member moves only the keys that it owns.
 */
export function topByRendezvous(
	key: string,
	members: readonly string[],
	count: number,
): readonly string[] {
	const keyHash = hashString(key);
	return members
		.map(member => ({
			member,
			score: rendezvousScore(keyHash, hashString(member)),
		}))
		.toSorted((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
		.slice(0, count)
		.map(({member}) => member);
}

/** Finalizer of MurmurHash3. Each input bit flips each output bit with a probability of about 1/2. */
function mixBits(value: number): number {
	let mixed = value;
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_eb_ca_6b);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2_b2_ae_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
