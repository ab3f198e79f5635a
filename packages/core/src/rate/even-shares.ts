import {minRetryAfterMs, unknownLimitRetryMs} from './constants.js';
import {TokenBucket} from './token-bucket.js';
import type {RateCommand, RateLimiter, RateEvent, RateLimit} from './types.js';

/** Options of `EvenShares`. */
export type EvenSharesOptions = {
	/** Number of entries among which each customer's rate is split. It never changes. */
	readonly entryCount: number;
	readonly isFirstStart: boolean;
};

/**
 * Static rate limiter: each entry may spend an equal share of each customer's rate and burst, with no transfers between
 * entries. A baseline to compare `RateCore` with.
 */
export class EvenShares implements RateLimiter {
	static create(options: EvenSharesOptions): EvenShares {
		return new EvenShares(options);
	}

	private readonly _options: EvenSharesOptions;
	private readonly _limits = new Map<string, RateLimit>();
	private readonly _buckets = new Map<string, TokenBucket>();
	private readonly _openReservations = new Map<
		string,
		{readonly customer: string; readonly mark: number}
	>();

	private constructor(options: EvenSharesOptions) {
		this._options = options;
	}

	handle(event: RateEvent, now: number): readonly RateCommand[] {
		if (event.type === 'reserveRequested') {
			const {requestId, customer, tokens} = event;
			return [this._reserve(requestId, customer, tokens, now)];
		}

		if (event.type === 'tokensReturned') {
			this._returnTokens(event.requestId, event.tokens);
		}

		if (event.type === 'limitsChanged') {
			for (const limit of event.limits) {
				this._setLimit(limit, now);
			}
		}

		return [];
	}

	private _returnTokens(requestId: string, tokens: number): void {
		const reservation = this._openReservations.get(requestId);
		if (reservation !== undefined) {
			this._openReservations.delete(requestId);
			this._buckets.get(reservation.customer)?.credit(reservation.mark, tokens);
		}
	}

	private _reserve(
		requestId: string,
		customer: string,
		tokens: number,
		now: number,
	): RateCommand {
		const limit = this._limits.get(customer);
		const bucket = this._buckets.get(customer);
		if (limit === undefined || bucket === undefined) {
			const retryAfterMs = unknownLimitRetryMs;
			return {type: 'reserveRefused', requestId, retryAfterMs};
		}

		bucket.advanceTo(now);
		if (tokens > limit.burstTokens) {
			return {type: 'reserveRefused', requestId};
		}

		const missing = tokens - bucket.available;
		if (missing > 0) {
			const waitMs = Math.ceil(missing / bucket.limit.tokensPerMs);
			const retryAfterMs = Math.max(minRetryAfterMs, waitMs);
			return {type: 'reserveRefused', requestId, retryAfterMs};
		}

		bucket.hold(tokens);
		const mark = bucket.spendHold(tokens, now);
		this._openReservations.set(requestId, {customer, mark});
		return {type: 'reserved', requestId};
	}

	private _setLimit(limit: RateLimit, now: number): void {
		const {entryCount, isFirstStart} = this._options;
		const part = {
			tokensPerMs: limit.tokensPerSecond / 1000 / entryCount,
			burst: Math.floor(limit.burstTokens / entryCount),
		};
		const known = this._buckets.get(limit.customer);
		this._limits.set(limit.customer, limit);
		if (known === undefined) {
			const level = isFirstStart ? part.burst : 0;
			this._buckets.set(limit.customer, TokenBucket.create(part, level, now));
			return;
		}

		known.setLimit(part, now);
	}
}
