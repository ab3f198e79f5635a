import {
	initialPrefillTokensPerMs,
	maxEarlyRateFactor,
	maxPrefillSamples,
	maxSampledSlowdownChange,
	minPrefillSamples,
	minSampledPromptTokens,
	maxTokensAheadShare,
	prefillOverheadMs,
	prefillRateBounds,
	prefillRateQuantile,
	prefillSampleLifetimeMs,
} from './constants.js';
import type {PrefillSample, SlowdownSpan} from './types.js';

const usualPace: SlowdownSpan = {least: 1, greatest: 1};

type TimedRate = {readonly tokensPerMs: number; readonly at: number};

/**
 * Estimates the rate at which an engine prefills prompts, from the times to the first event that entries see. Starts
 * with a cautious rate, and follows an engine that turns slow or was replaced, as samples expire.
 */
export class PrefillRate {
	static create(): PrefillRate {
		return new PrefillRate();
	}

	private _rates: readonly TimedRate[] = [];
	private _tokensPerMs = initialPrefillTokensPerMs;

	private constructor() {}

	/** Estimated rate, in tokens per millisecond. */
	get tokensPerMs(): number {
		return this._tokensPerMs;
	}

	/**
	 * Records the time to the first event of a prompt. Prompts that are short or behind others tell little.
	 *
	 * @param span slowdown during that time. Samples during a change are skipped; others tell the rate at the usual pace.
	 */
	note(
		{tokens, tokensAhead, firstEventMs}: PrefillSample,
		now: number,
		{least, greatest}: SlowdownSpan = usualPace,
	): void {
		if (
			tokens < minSampledPromptTokens ||
			tokensAhead > maxTokensAheadShare * tokens ||
			greatest > maxSampledSlowdownChange * least
		) {
			return;
		}

		const usualMs = firstEventMs / greatest;
		const prefillMs = Math.max(1, usualMs - prefillOverheadMs);
		const rate = {tokensPerMs: (tokens + tokensAhead) / prefillMs, at: now};
		this._rates = [...this._rates, rate]
			.filter(({at}) => now - at < prefillSampleLifetimeMs)
			.slice(-maxPrefillSamples);
		this._update();
	}

	/** The estimate moves from the initial rate to the observed one with the number of samples, without a jump. */
	private _update(): void {
		const sorted = this._rates
			.map(({tokensPerMs}) => tokensPerMs)
			.toSorted((a, b) => a - b);
		const observed =
			sorted[Math.floor(sorted.length * prefillRateQuantile)] ??
			initialPrefillTokensPerMs;
		const weight = Math.min(1, sorted.length / minPrefillSamples);
		const credible =
			weight < 1
				? Math.min(observed, maxEarlyRateFactor * initialPrefillTokensPerMs)
				: observed;
		const blended =
			initialPrefillTokensPerMs +
			weight * (credible - initialPrefillTokensPerMs);
		const {min, max} = prefillRateBounds;
		this._tokensPerMs = Math.min(max, Math.max(min, blended));
	}
}
