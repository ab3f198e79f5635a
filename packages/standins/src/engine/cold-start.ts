/**
 * Warm-up of a freshly started engine: its concurrency limit starts low and rises by one with each completed request.
 */
export class ColdStart {
	static create(coldLimit: number, warmLimit: number): ColdStart {
		return new ColdStart(coldLimit, warmLimit);
	}

	private _limit: number;
	private readonly _coldLimit: number;
	private readonly _warmLimit: number;

	private constructor(coldLimit: number, warmLimit: number) {
		this._limit = coldLimit;
		this._coldLimit = coldLimit;
		this._warmLimit = warmLimit;
	}

	get isCold(): boolean {
		return this._limit < this._warmLimit;
	}

	/** Whether the engine can handle this many concurrent requests. A warm engine always can. */
	canHandle(requestCount: number): boolean {
		return !this.isCold || requestCount <= this._limit;
	}

	recordCompletion(): void {
		this._limit = Math.min(this._warmLimit, this._limit + 1);
	}

	reset(): void {
		this._limit = this._coldLimit;
	}
}
