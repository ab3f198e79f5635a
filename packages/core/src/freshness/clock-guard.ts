import {suspensionThresholdMs} from './constants.js';

/**
 * Notices that the steady clock may have stood still. A host that was suspended does not count that time on its
 * steady clock, but the time of day goes on; so a forward jump of the time of day counts as a suspension.
 */
export class ClockGuard {
	static create(now: number, timeOfDay: number): ClockGuard {
		return new ClockGuard(timeOfDay - now);
	}

	private _epoch = 0;

	private constructor(private _offset: number) {}

	/** Grows with each suspension. Times on the steady clock from an earlier epoch can't be trusted. */
	get epoch(): number {
		return this._epoch;
	}

	/** Returns whether the host may have been suspended since the last look. */
	look(now: number, timeOfDay: number): boolean {
		const offset = timeOfDay - now;
		const isSuspended = offset - this._offset > suspensionThresholdMs;
		this._offset = offset;
		if (isSuspended) {
			this._epoch++;
		}

		return isSuspended;
	}
}
