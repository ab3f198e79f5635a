import type {ReportedLoad} from '../placement/types.js';
import {maxWorkSamples} from './constants.js';

/**
 * Learns how long the work of a plain service takes, apart from waiting. Counts responses of servers that had a place free
 * when they answered, at the usual pace of their host.
 */
export class WorkTimes {
	static create(): WorkTimes {
		return new WorkTimes();
	}

	private _samples: readonly number[] = [];

	private constructor() {}

	/** Median work time in milliseconds; undefined without a sample. */
	get workMs(): number | undefined {
		const sorted = this._samples.toSorted((a, b) => a - b);
		return sorted[Math.floor(sorted.length / 2)];
	}

	/**
	 * Records the time from the send of a request to its response.
	 *
	 * @param load load that the response tells, itself included
	 */
	note(
		elapsedMs: number,
		{running, waiting, slots, slowdown = 1}: ReportedLoad,
	) {
		if (waiting === 0 && running <= slots) {
			this._samples = [...this._samples, elapsedMs / slowdown].slice(
				-maxWorkSamples,
			);
		}
	}
}
