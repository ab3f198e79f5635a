import {initialServiceMs, samplesUntilEstimates} from './constants.js';

const averageWeight = 0.1;

/** Averages of what requests took and used, for estimates. */
export class ServiceTimes {
	static create(): ServiceTimes {
		return new ServiceTimes();
	}

	private _requestMs = initialServiceMs;
	private _requestTokens = 1;
	private _completionTokens = 0;
	private _samples = 0;

	private constructor() {}

	/** Whether enough was measured to refuse by it. */
	get isReliable(): boolean {
		return this._samples >= samplesUntilEstimates;
	}

	/** Time of one request. */
	get requestMs(): number {
		return this._requestMs;
	}

	onCompleted(tookMs: number, tokens: number, completionTokens: number): void {
		this._samples++;
		const weight = Math.max(averageWeight, 1 / this._samples);
		this._requestMs += weight * (tookMs - this._requestMs);
		this._requestTokens += weight * (tokens - this._requestTokens);
		this._completionTokens +=
			weight * (completionTokens - this._completionTokens);
	}

	/** Tokens that an answer of at most `maxTokens` is expected to have. */
	expectedCompletionTokens(maxTokens: number): number {
		return this.isReliable
			? Math.min(maxTokens, this._completionTokens)
			: maxTokens;
	}

	/** Time in which a backend server that runs `concurrency` requests at once serves so many tokens. */
	msFor(tokens: number, concurrency: number): number {
		const requests = tokens / Math.max(1, this._requestTokens);
		return (requests * this._requestMs) / Math.max(1, concurrency);
	}
}
