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

/** Returns the time until the entry should read the table itself, in milliseconds; 0 or less means now. */
export function msUntilRead(duty: ReadDuty, now: number): number {
	return duty.isRoot
		? 0
		: duty.confirmedAt + duty.maxAgeMs + duty.shiftMs - now;
}
