import {
	expectedBytesPerMs,
	inTimeWeightMs,
	waitingWeightMs,
} from './constants.js';
import type {Holding} from './types.js';

/**
 * Chooses the holdings that are given up to free memory: first those that keep much for longer than an ordinary caller
 * needs, so that a small or prompt request goes before a large or slow one. What a server may run is never chosen, as
 * nothing true could be said of it.
 *
 * @param excessBytes memory to free, in bytes
 * @returns in this order, as many as are needed, or all that there are
 */
export function chooseYielding<T extends Holding>(
	holdings: Iterable<T>,
	excessBytes: number,
	now: number,
): readonly T[] {
	const candidates = [...holdings]
		.map(holding => ({holding, weight: weightOf(holding, now)}))
		.filter(({weight}) => weight > 0)
		.toSorted((a, b) => b.weight - a.weight);
	const chosen: T[] = [];
	let freed = 0;
	for (const {holding} of candidates) {
		if (freed >= excessBytes) {
			break;
		}

		chosen.push(holding);
		freed += holding.bytes;
	}

	return chosen;
}

/** Bytes times the milliseconds by which they are late. */
function weightOf({bytes, stage, since}: Holding, now: number): number {
	switch (stage) {
		case 'running': {
			return 0;
		}

		case 'waiting': {
			return bytes * waitingWeightMs;
		}

		case 'reading': {
			const lateMs = Math.max(0, now - since - bytes / expectedBytesPerMs);
			return bytes * (inTimeWeightMs + lateMs);
		}

		case 'unread': {
			return bytes * (inTimeWeightMs + Math.max(0, now - since));
		}
	}
}
