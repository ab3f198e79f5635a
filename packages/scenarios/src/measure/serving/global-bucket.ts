/** Token bucket of one customer for the whole fleet. It is the reference for which requests are inside the rate. */
export class GlobalBucket {
	static create(tokensPerSecond: number, burstTokens: number): GlobalBucket {
		return new GlobalBucket(tokensPerSecond, burstTokens);
	}

	private _tokens: number;
	private _accruedAt = 0;

	private constructor(
		private readonly _tokensPerSecond: number,
		private readonly _burstTokens: number,
	) {
		this._tokens = _burstTokens;
	}

	/** Spends the tokens if the bucket holds enough. Returns whether it did. */
	trySpend(tokens: number, now: number): boolean {
		this._accrue(now);
		if (this._tokens < tokens) {
			return false;
		}

		this._tokens -= tokens;
		return true;
	}

	returnTokens(tokens: number, now: number): void {
		this._accrue(now);
		this._tokens = Math.min(this._burstTokens, this._tokens + tokens);
	}

	private _accrue(now: number): void {
		const accrued = ((now - this._accruedAt) / 1000) * this._tokensPerSecond;
		this._tokens = Math.min(this._burstTokens, this._tokens + accrued);
		this._accruedAt = now;
	}
}
