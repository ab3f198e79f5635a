import {maxRelayedProofAgeMs} from './constants.js';

/** What decides whether an entry reads a table of the store itself. */
export type ReadDuty = {
	/** Whether the entry reads the store for its zone. */
	readonly isRoot: boolean;
	/** Time at which the entry's rows are known to have been the newest; negative infinity if never. */
	readonly confirmedAt: number;
	/** Age of the rows at which the entry reads the table itself although another entry should, in milliseconds. */
	readonly maxAgeMs: number;
	/** Delay that differs between entries, so that they do not all read at once, in milliseconds. */
	readonly shiftMs: number;
};

/**
 * Age of the newest proof at which an entry reads the operator's statements itself, in milliseconds: early enough that the
 * read ends before a change must be in force.
 *
 * @param applyMs time in which a change must be in force, in milliseconds; undefined without such a bound
 * @param latenessMs time that the read may take, in milliseconds
 */
export function maxProofAgeMs(
	applyMs: number | undefined,
	latenessMs: number,
): number {
	return applyMs === undefined
		? maxRelayedProofAgeMs
		: Math.min(
				maxRelayedProofAgeMs,
				Math.max(applyMs / 2, applyMs - latenessMs),
			);
}

/** Returns the time until the entry should read the table itself, in milliseconds; 0 or less means now. */
export function msUntilRead(duty: ReadDuty, now: number): number {
	return duty.isRoot
		? 0
		: duty.confirmedAt + duty.maxAgeMs + duty.shiftMs - now;
}
