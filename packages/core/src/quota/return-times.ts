import {maxReturnMs} from './constants.js';

/** A refused request that was told when to come back. */
type PlannedReturn = {readonly dueAt: number; readonly units: number};

/**
 * Times at which refused requests of one customer are told to come back. Each is told when the rate has accrued what it
 * needs besides what those need that were told before it, so they return one after the other, in the order in which they
 * came, and not all at the time at which the first of them would be granted.
 */
export class ReturnTimes {
	static create(): ReturnTimes {
		return new ReturnTimes();
	}

	/** Sorted by time. */
	private _planned: readonly PlannedReturn[] = [];

	private constructor() {}

	/**
	 * Plans the return of a request, and returns the time until it, in milliseconds.
	 *
	 * @param missingUnits units that the customer lacks for this request now
	 */
	plan(
		units: number,
		missingUnits: number,
		unitsPerMs: number,
		now: number,
	): number {
		this._planned = this._planned.filter(({dueAt}) => dueAt > now);
		let ahead = 0;
		for (const {units: planned} of this._planned) {
			ahead += planned;
		}

		const delayMs = Math.ceil((missingUnits + ahead) / unitsPerMs);
		if (delayMs <= maxReturnMs) {
			this._planned = [...this._planned, {dueAt: now + delayMs, units}];
		}

		return delayMs;
	}
}
