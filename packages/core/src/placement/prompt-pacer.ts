import {promptRoomTokens, promptTokensPerMs} from './constants.js';

/**
 * Spreads the prompts that one engine reads. An engine reads prompts between the tokens of its running requests;
 * prompts that arrive together fill several steps in a row, and all running streams pause meanwhile.
 *
 * A leaky bucket: the debt of prompts that were let through drains at the pace at which the engine reads, and a
 * prompt is let through when the debt leaves room for it. A prompt larger than the room waits for no debt at all.
 */
export class PromptPacer {
	static create(now: number): PromptPacer {
		return new PromptPacer(now);
	}

	private _debt = 0;

	private constructor(private _settledAt: number) {}

	/** Tokens that were let through and are not read yet. */
	debt(now: number): number {
		this._settle(now);
		return this._debt;
	}

	/** Takes a prompt into the order. Returns the time after which it may be sent, in milliseconds. */
	reserve(tokens: number, now: number): number {
		this._settle(now);
		const delayMs = turnDelayMs(this._debt, tokens);
		this._debt += tokens;
		return delayMs;
	}

	/** Gives back the turn of a prompt that is not sent. */
	release(tokens: number, now: number): void {
		this._settle(now);
		this._debt = Math.max(0, this._debt - tokens);
	}

	private _settle(now: number): void {
		this._debt = debtAfter(this._debt, now - this._settledAt);
		this._settledAt = now;
	}
}

/** Debt that is left after a time. */
export function debtAfter(debt: number, elapsedMs: number): number {
	return Math.max(0, debt - elapsedMs * promptTokensPerMs);
}

/** Time until a prompt may be sent to an engine that has this debt. */
export function turnDelayMs(debt: number, tokens: number): number {
	const room = promptRoomTokens - Math.min(tokens, promptRoomTokens);
	return Math.max(0, (debt - room) / promptTokensPerMs);
}

/** Debt with which even the smallest prompt has to wait this long. */
export function debtOf(delayMs: number): number {
	return delayMs * promptTokensPerMs + promptRoomTokens;
}
