import type {Random} from '@balsamtray/core';

const millisecondsPerSecond = 1000;

/**
 * Yields the due times of requests as a Poisson process, in milliseconds since the start of the run.
 * The times do not depend on responses (open-loop load), so a slow system receives as many requests as a fast one.
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
