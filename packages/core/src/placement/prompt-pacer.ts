import {maxPromptBacklogTokens, promptTokensPerMs} from './constants.js';

/**
 * Paces the prompts that are sent to one engine. An engine prefills prompts between the decode steps of its running
 * requests. Prompts that arrive together fill several steps in a row, and all running streams pause meanwhile.
 *
 * Works as a leaky bucket: the debt, which is the number of admitted prompt tokens that are not prefilled yet, drains
 * at the engine's prefill rate. A prompt is admitted once the debt and the prompt fit into the bucket. A prompt that is
 * larger than the bucket waits until the debt is zero.
 */
export class PromptPacer {
	static create(now: number): PromptPacer {
		return new PromptPacer(now);
	}

	private _debt = 0;

	private constructor(private _drainedAt: number) {}

	/** Prompt tokens that were admitted and are not prefilled yet. */
	debt(now: number): number {
		this._drain(now);
		return this._debt;
	}

	/** Reserves capacity for a prompt. Returns the delay until it may be sent, in milliseconds. */
	reserve(tokens: number, now: number): number {
		this._drain(now);
		const delayMs = promptWaitMs(this._debt, tokens);
		this._debt += tokens;
		return delayMs;
	}

	/** Cancels the reservation of a prompt that is not sent. */
	release(tokens: number, now: number): void {
		this._drain(now);
		this._debt = Math.max(0, this._debt - tokens);
	}

	private _drain(now: number): void {
		this._debt = drainedDebt(this._debt, now - this._drainedAt);
		this._drainedAt = now;
	}
}

/** Returns the debt that remains after the elapsed time. */
export function drainedDebt(debt: number, elapsedMs: number): number {
	return Math.max(0, debt - elapsedMs * promptTokensPerMs);
}

/** Returns the time until a prompt may be sent to an engine with the given debt, in milliseconds. */
export function promptWaitMs(debt: number, tokens: number): number {
	const allowedDebt =
		maxPromptBacklogTokens - Math.min(tokens, maxPromptBacklogTokens);
	return Math.max(0, (debt - allowedDebt) / promptTokensPerMs);
}

/** Returns the debt at which even the smallest prompt waits for the given time. */
export function debtForWait(delayMs: number): number {
	return delayMs * promptTokensPerMs + maxPromptBacklogTokens;
}
