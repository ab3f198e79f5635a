import type {EntryCommand, EntryEvent} from '@balsamtray/core';
import type {OpenRequest} from './open-request.js';
import type {EntryTaskOptions} from './types.js';

type CommandOf<T extends EntryCommand['type']> = Extract<
	EntryCommand,
	{readonly type: T}
>;

/** Retry delay for callers when the rate or claim service of this process failed, in milliseconds. */
const serviceRetryAfterMs = 1000;

/** Calls the rate and claim services on behalf of requests and posts their results as events. */
export class RateAndClaimCalls {
	static create(
		options: EntryTaskOptions,
		post: (event: EntryEvent) => void,
	): RateAndClaimCalls {
		return new RateAndClaimCalls(options, post);
	}

	private constructor(
		private readonly _options: EntryTaskOptions,
		private readonly _post: (event: EntryEvent) => void,
	) {}

	async reserve(
		{requestId, customer, tokens}: CommandOf<'reserveTokens'>,
		openRequest: OpenRequest | undefined,
	): Promise<void> {
		openRequest?.startStep('rate');
		const result = await this._tryReserve(requestId, customer, tokens);
		openRequest?.endStep('rate', result.kind);
		if (result.kind === 'reserved') {
			this._post({type: 'tokensReserved', requestId});
			return;
		}

		const {retryAfterMs} = result;
		this._post({
			type: 'tokensRefused',
			requestId,
			...(retryAfterMs === undefined ? {} : {retryAfterMs}),
		});
	}

	async claim(
		{requestId, customer, idempotencyKey, bodyDigest}: CommandOf<'claim'>,
		openRequest: OpenRequest | undefined,
	): Promise<void> {
		openRequest?.startStep('claim');
		const result = await this._tryClaim(
			requestId,
			customer,
			idempotencyKey,
			bodyDigest,
		);
		openRequest?.endStep('claim', result.kind);
		this._post({type: 'claimSettled', requestId, result});
	}

	returnTokens({requestId, customer, tokens}: CommandOf<'returnTokens'>): void {
		this._options.rate.returnTokens(customer, tokens, requestId);
	}

	async record({
		requestId,
		customer,
		idempotencyKey,
		outcome,
	}: CommandOf<'recordOutcome'>): Promise<void> {
		await this._settle(
			'record',
			this._options.claims.record(requestId, customer, idempotencyKey, outcome),
		);
	}

	async release({
		requestId,
		customer,
		idempotencyKey,
	}: CommandOf<'releaseClaim'>): Promise<void> {
		await this._settle(
			'release',
			this._options.claims.release(requestId, customer, idempotencyKey),
		);
	}

	private async _tryReserve(
		requestId: string,
		customer: string,
		tokens: number,
	) {
		try {
			return await this._options.rate.reserve(requestId, customer, tokens);
		} catch {
			this._options.telemetry.metrics.increment('entry.rate_error');
			const retryAfterMs = serviceRetryAfterMs;
			return {kind: 'refused', retryAfterMs} as const;
		}
	}

	private async _tryClaim(
		requestId: string,
		customer: string,
		idempotencyKey: string,
		bodyDigest: string,
	) {
		try {
			return await this._options.claims.claim(
				requestId,
				customer,
				idempotencyKey,
				bodyDigest,
			);
		} catch {
			this._options.telemetry.metrics.increment('entry.claim_error');
			const retryAfterMs = serviceRetryAfterMs;
			return {kind: 'unavailable', retryAfterMs} as const;
		}
	}

	/** Waits for a claim to be recorded or released. If that fails, the claim stays in the store, and later calls with its key are refused: at first as in progress, then because the outcome is unknown. */
	private async _settle(step: string, settled: Promise<void>): Promise<void> {
		try {
			await settled;
		} catch {
			this._options.telemetry.metrics.increment('entry.claim_error', {step});
		}
	}
}
