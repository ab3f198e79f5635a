import {
	maxSampledSlowdownChange,
	maxStepsPerEvent,
} from '../placement/constants.js';
import {
	engineStepMs,
	intervalQuantile,
	intervalQuantileStep,
	minIntervalSamples,
} from './constants.js';

/**
 * Times between the events of the streams of one engine, at the usual pace of its host. A low quantile is the time of the
 * steps of an event alone, since prompts only lengthen it.
 */
export class EventIntervals {
	static create(): EventIntervals {
		return new EventIntervals();
	}

	private _intervalMs = maxStepsPerEvent * engineStepMs;
	private _samples = 0;

	private constructor() {}

	/** Time of the steps of one event without prompts, in milliseconds; undefined until enough events were seen. */
	get intervalMs(): number | undefined {
		return this._samples < minIntervalSamples ? undefined : this._intervalMs;
	}

	/**
	 * Time of one step, in milliseconds: the usual one until enough events were seen.
	 *
	 * @param tokensPerEvent tokens in an event, of which each takes a step; undefined if that is not known
	 */
	stepMs(tokensPerEvent: number = maxStepsPerEvent): number {
		return this.intervalMs === undefined
			? engineStepMs
			: this.intervalMs / tokensPerEvent;
	}

	/**
	 * Notes the time between two events. While the host is slow it does not count, as only part of the interval may be slow.
	 *
	 * @param pace how long work takes on the engine's host, against its usual time
	 */
	note(intervalMs: number, pace = 1): void {
		if (pace > maxSampledSlowdownChange) {
			return;
		}

		this._samples++;
		const share =
			intervalMs < this._intervalMs ? intervalQuantile - 1 : intervalQuantile;
		// The estimate moves up or down by steps whose sizes balance where the given share of the intervals is below it.
		this._intervalMs *= 1 + share * intervalQuantileStep;
	}
}
