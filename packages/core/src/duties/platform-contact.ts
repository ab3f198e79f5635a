import {maxUnansweredMs} from './constants.js';

/** Calls without an answer from which a holder may count as cut off. A single call may be lost. */
const minFailures = 2;

/** Tracks whether the platform answers the calls of a duty's holder. */
export class PlatformContact {
	static create(): PlatformContact {
		return new PlatformContact();
	}

	private _unansweredSince: number | undefined;
	/** Calls that have ended without an answer since the last one. */
	private _failures = 0;
	private _lastSentAt = Number.NEGATIVE_INFINITY;

	private constructor() {}

	noteSent(now: number): void {
		this._unansweredSince ??= now;
		this._lastSentAt = now;
	}

	/** Any answer counts, a refusal too. */
	noteAnswered(): void {
		this._unansweredSince = undefined;
		this._failures = 0;
	}

	/** Notes that a call has ended without an answer. */
	noteUnanswered(): void {
		this._failures++;
	}

	/** Forgets calls of an earlier holding. */
	reset(): void {
		this.noteAnswered();
		this._lastSentAt = Number.NEGATIVE_INFINITY;
	}

	/** Whether no call was answered for long, although calls were due until now. */
	isCutOff(now: number): boolean {
		return (
			this._unansweredSince !== undefined &&
			this._failures >= minFailures &&
			now - this._unansweredSince >= maxUnansweredMs &&
			now - this._lastSentAt <= maxUnansweredMs
		);
	}
}
