import {paceLifetimeMs} from './constants.js';

/**
 * How long work takes on a host at present, against its usual time. The older the figure, the nearer to 1.
 *
 * @param slowdown the figure that the host reported; undefined if it reports none
 * @returns undefined if the host reports none
 */
export function currentPace(
	slowdown: number | undefined,
	ageMs: number,
): number | undefined {
	return slowdown === undefined
		? undefined
		: 1 + (slowdown - 1) * Math.max(0, 1 - ageMs / paceLifetimeMs);
}
