import {
	initialOutputEvents,
	initialOutputTail,
	lengthDecayMs,
	maxTrackedLengths,
	minHintSamples,
	minLengthSamples,
	figureLifetimeMs,
	lengthPriorWeight,
	lengthRefinementWeight,
	hintPriorWeight,
} from './constants.js';
import {
	bucketOfLength,
	bucketOfRatio,
	bucketStart,
	lengthBuckets,
	ratioOfBucket,
} from './length-buckets.js';
import {LengthDistribution} from './length-distribution.js';
import {LengthHistograms} from './length-histograms.js';

/** What is known of a request that says how long its output may become. */
export type OutputSubject = {
	readonly route: string;
	readonly customer: string | undefined;
	/** `adapterKey` of the adapter. */
	readonly adapter: string | undefined;
	/** The caller's estimate of the generated tokens; undefined without one. */
	readonly hintTokens: number | undefined;
	/** Maximum of generated tokens; undefined if the request does not say. An event has at least one token. */
	readonly maxTokens: number | undefined;
};

/** A figure and the time at which it was computed. */
type Figure<Value> = {readonly value: Value; readonly at: number};

/**
 * Learns how many events the streams of a route have, refined by customer and by adapter as far as there is data. A hint
 * counts by the distribution of the actual length against the hint, once hints have made the results likelier.
 */
export class OutputLengths {
	static create(): OutputLengths {
		return new OutputLengths();
	}

	private readonly _lengths = LengthHistograms.create({
		maxKeys: maxTrackedLengths,
		decayMs: lengthDecayMs,
	});

	/** Typical remaining lengths by route, with the time at which they were computed. */
	private readonly _residuals = new Map<string, Figure<number>>();
	/** Tokens in an event by key of the hint. */
	private readonly _tokensPerEvent = new Map<
		string,
		Figure<number | undefined>
	>();

	/** Decayed sum of how much likelier hints made the results, as logarithms, by key of the hint. */
	private readonly _gains = new Map<string, Figure<number>>();

	private constructor() {}

	/** Number of histograms that are kept. */
	get size(): number {
		return this._lengths.size;
	}

	/** Whether enough streams of the route were seen. */
	isKnown({route}: OutputSubject, now: number): boolean {
		return this._lengths.total(`route ${route}`, now) >= minLengthSamples;
	}

	/**
	 * Mean number of events that follow in a stream of which it is only known that it runs, by the lengths of a route. A long
	 * stream is more likely to be found running, so this may exceed the mean length.
	 */
	residual({route}: OutputSubject, now: number): number {
		const known = this._residuals.get(route);
		if (known !== undefined && now - known.at < figureLifetimeMs) {
			return known.value;
		}

		const shares = Float64Array.from(initialShares);
		this._lengths.mixInto(`route ${route}`, shares, lengthPriorWeight, now);
		let sum = 0;
		let squares = 0;
		for (let bucket = 0; bucket < lengthBuckets; bucket++) {
			const events = bucketMiddle(bucket);
			sum += shares[bucket]! * events;
			squares += shares[bucket]! * events * events;
		}

		const value = Math.max(1, squares / (2 * sum));
		this._remember(this._residuals, route, {value, at: now});
		return value;
	}

	/** How long the output of a request may become, by all that is known. */
	distribution(subject: OutputSubject, now: number): LengthDistribution {
		const shares = this._shares(subject, now);
		const {hintTokens, maxTokens} = subject;
		return LengthDistribution.create(
			hintTokens !== undefined && this._isHintProved(subject, now)
				? this._withHint(shares, subject, now)
				: shares,
			maxTokens,
		);
	}

	/**
	 * Notes the end of a stream.
	 *
	 * @param isComplete whether the server ended it. Otherwise it would have become longer, and counts as it was expected to
	 *   go on, as streams that are cut off would else make all look short.
	 */
	note(
		subject: OutputSubject,
		events: number,
		isComplete: boolean,
		now: number,
	): void {
		if (events < 1) {
			return;
		}

		if (isComplete) {
			this._noteHint(subject, events, now);
			const bucket = bucketOfLength(events);
			for (const key of keysOf(subject)) {
				this._lengths.note(key, bucket, now);
			}

			return;
		}

		const shares = this.distribution(subject, now).sharesFrom(events);
		for (const key of keysOf(subject)) {
			this._lengths.noteSpread(key, shares, now);
		}
	}

	/**
	 * Number of tokens in an event, from the hints of a route, which are right at the median. Undefined until they have
	 * proved right.
	 */
	tokensPerEvent(subject: OutputSubject, now: number): number | undefined {
		const key = hintKey(subject);
		const known = this._tokensPerEvent.get(key);
		if (known !== undefined && now - known.at < figureLifetimeMs) {
			return known.value;
		}

		const value = this._computeTokensPerEvent(subject, now);
		this._remember(this._tokensPerEvent, key, {value, at: now});
		return value;
	}

	private _computeTokensPerEvent(
		subject: OutputSubject,
		now: number,
	): number | undefined {
		if (!this._isHintProved(subject, now)) {
			return undefined;
		}

		const ratios = this._hintShares(subject, now);
		let left = 0.5;
		let bucket = 0;
		while (bucket < lengthBuckets - 1 && left > ratios[bucket]!) {
			left -= ratios[bucket]!;
			bucket++;
		}

		return Math.max(1, 1 / ratioOfBucket(bucket));
	}

	/** Keeps a figure under a key, and forgets the one that was computed longest ago. */
	private _remember<Value>(
		figures: Map<string, Figure<Value>>,
		key: string,
		figure: Figure<Value>,
	): void {
		figures.delete(key);
		figures.set(key, figure);
		if (figures.size > maxTrackedLengths) {
			figures.delete(figures.keys().next().value!);
		}
	}

	private _shares(subject: OutputSubject, now: number): Float64Array {
		const shares = Float64Array.from(initialShares);
		const keys = keysOf(subject);
		for (const [i, key] of keys.entries()) {
			const weight = i === 0 ? lengthPriorWeight : lengthRefinementWeight;
			this._lengths.mixInto(key, shares, weight, now);
		}

		return shares;
	}

	/** How likely each ratio of the length in events to the hint in tokens is. */
	private _hintShares(subject: OutputSubject, now: number): Float64Array {
		const shares = new Float64Array(lengthBuckets).fill(1 / lengthBuckets);
		this._lengths.mixInto(
			`hint ${subject.route}`,
			shares,
			hintPriorWeight,
			now,
		);
		this._lengths.mixInto(
			hintKey(subject),
			shares,
			lengthRefinementWeight,
			now,
		);
		return shares;
	}

	/** Shares of the lengths after the hint: each counts by how often hints were off by as much. */
	private _withHint(
		shares: Float64Array,
		subject: OutputSubject,
		now: number,
	): Float64Array {
		const ratios = this._hintShares(subject, now);
		const hinted = new Float64Array(lengthBuckets);
		let sum = 0;
		for (let bucket = 0; bucket < lengthBuckets; bucket++) {
			const ratio = bucketMiddle(bucket) / subject.hintTokens!;
			hinted[bucket] = shares[bucket]! * ratios[bucketOfRatio(ratio)]!;
			sum += hinted[bucket]!;
		}

		return sum > 0 ? hinted.map(share => share / sum) : shares;
	}

	private _isHintProved(subject: OutputSubject, now: number): boolean {
		const known = this._gains.get(hintKey(subject));
		return (
			known !== undefined &&
			known.value > 0 &&
			this._lengths.total(hintKey(subject), now) >= minHintSamples
		);
	}

	/** Notes how far the length was from the hint, and whether the hint had made it likelier. */
	private _noteHint(subject: OutputSubject, events: number, now: number): void {
		const {hintTokens, route} = subject;
		if (hintTokens === undefined) {
			return;
		}

		const key = hintKey(subject);
		if (this._lengths.total(key, now) >= minHintSamples / 2) {
			const bucket = bucketOfLength(events);
			const shares = this._shares(subject, now);
			const hinted = this._withHint(shares, subject, now);
			const known = this._gains.get(key) ?? {value: 0, at: now};
			const rest = Math.exp((known.at - now) / lengthDecayMs);
			const gain =
				known.value * rest +
				Math.log(
					(hinted[bucket]! + leastShare) / (shares[bucket]! + leastShare),
				);
			this._remember(this._gains, key, {
				value: Math.max(-maxHintGain, Math.min(maxHintGain, gain)),
				at: now,
			});
		}

		const ratio = bucketOfRatio(events / hintTokens);
		this._lengths.note(`hint ${route}`, ratio, now);
		if (key !== `hint ${route}`) {
			this._lengths.note(key, ratio, now);
		}
	}
}

/** Bound of the sum of gains, so that hints that turn wrong are dropped within some tens of requests. */
const maxHintGain = 20;

/** Likelihood of a length that was held for impossible. It keeps the gain of one hint finite. */
const leastShare = 0.001;

/** Shares of lengths without any data: none below `initialOutputEvents`, and ever fewer above it. */
const initialShares = Array.from({length: lengthBuckets}, (_, bucket) => {
	const longer = (start: number) =>
		Math.min(1, (initialOutputEvents / start) ** initialOutputTail);
	return bucket === lengthBuckets - 1
		? longer(bucketStart(bucket))
		: longer(bucketStart(bucket)) - longer(bucketStart(bucket + 1));
});

/** Keys of the histograms that count for a request, the widest group first. */
function keysOf({route, customer, adapter}: OutputSubject): readonly string[] {
	return [
		`route ${route}`,
		...(customer === undefined ? [] : [`customer ${route} ${customer}`]),
		...(adapter === undefined ? [] : [`adapter ${route} ${adapter}`]),
	];
}

function hintKey({route, customer}: OutputSubject): string {
	return customer === undefined ? `hint ${route}` : `hint ${route} ${customer}`;
}

function bucketMiddle(bucket: number): number {
	return (bucketStart(bucket) + bucketStart(bucket + 1)) / 2;
}
