import type {Random} from '@balsamtray/core';

const millisecondsPerSecond = 1000;

/**
 * Times at which requests are due, in milliseconds from the start: a Poisson process.
 * They depend on the seed alone, so that a slow system gets no fewer requests.
 */
export function* arrivalTimes(
	ratePerSecond: number,
	durationMs: number,
	random: Random,
): IterableIterator<number> {
	const meanMs = millisecondsPerSecond / ratePerSecond;
	let at = 0;
	for (;;) {
		at -= Math.log(1 - random()) * meanMs;
		if (at >= durationMs) {
			return;
		}

		yield at;
	}
}
