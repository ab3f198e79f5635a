import {initialServiceMs, minEstimateSamples} from './constants.js';

/** Minimum weight of a new sample in the moving averages. */
const averageWeight = 0.1;

/** Moving averages of the service time and token usage of requests, for wait estimates. */
export class ServiceTimes {
	static create(): ServiceTimes {
		return new ServiceTimes();
	}

	private _requestMs = initialServiceMs;
	private _requestTokens = 1;
	private _completionTokens = 0;
	private _samples = 0;

	private constructor() {}

	/** Whether enough requests have completed to base refusals on the averages. */
	get isReliable(): boolean {
		return this._samples >= minEstimateSamples;
	}

	/** Average service time of a request in milliseconds. */
	get requestMs(): number {
		return this._requestMs;
	}

	onCompleted(
		serviceMs: number,
		tokens: number,
		completionTokens: number,
	): void {
		this._samples++;
		const weight = Math.max(averageWeight, 1 / this._samples);
		this._requestMs += weight * (serviceMs - this._requestMs);
		this._requestTokens += weight * (tokens - this._requestTokens);
		this._completionTokens +=
			weight * (completionTokens - this._completionTokens);
	}

	/** Expected number of tokens of an answer limited to `maxTokens`. */
	expectedCompletionTokens(maxTokens: number): number {
		return this.isReliable
			? Math.min(maxTokens, this._completionTokens)
			: maxTokens;
	}

	/** Expected time in milliseconds to serve `tokens` tokens with `concurrency` concurrent requests. */
	processingMs(tokens: number, concurrency: number): number {
		const requests = tokens / Math.max(1, this._requestTokens);
		return (requests * this._requestMs) / Math.max(1, concurrency);
	}
}
