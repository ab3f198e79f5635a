import {ignore} from './ignore.js';
import type {AgentLimits} from './types.js';

/** How many requests a backend server bears at once. */
export type ConcurrencyWindow = {
	/** Most requests that may run at once now. */
	limit(): number;
	/** The limit once the boot is witnessed, for estimates. */
	capacity(): number;
	/** Whether a health report would raise the limit at once. */
	wantsHealth(): boolean;
	/** A request ended well; `msPerToken` where tokens were generated. */
	onCompleted(msPerToken: number | undefined): void;
	onFailed(): void;
	/** Nothing runs any more. */
	onIdle(): void;
	/** The backend server started anew. */
	onRestart(): void;
	/** A health report showed the same boot while a connection stood, which has not broken since. */
	onWitnessed(): void;
	/** A connection broke or could not be made: the backend server may have started anew. */
	onSuspicion(): void;
};

const growthPerCompletion = 0.5;
const slowFactor = 3;
const slowAnswersUntilCold = 3;
const baselineWeight = 0.1;

/**
 * Window that starts at the cold limit, grows with each request that ends well, and falls back to the
 * cold limit when the backend server started anew or answers much slower than it did.
 *
 * A restart that nobody saw would meet the grown window. So the grown part holds only while the boot is
 * witnessed: a health report showed it while a request ran, and since then requests have run without a gap
 * and without a broken connection. From idling, work starts at the cold limit until the next report.
 */
export class ColdStartWindow implements ConcurrencyWindow {
	static create(limits: AgentLimits): ColdStartWindow {
		return new ColdStartWindow(limits);
	}

	private _size: number;
	private _isWitnessed = false;
	private _baselineMsPerToken: number | undefined;
	private _slowAnswers = 0;

	private constructor(private readonly _limits: AgentLimits) {
		this._size = _limits.coldWindow;
	}

	limit(): number {
		return this._isWitnessed
			? this.capacity()
			: Math.min(this._limits.coldWindow, this.capacity());
	}

	capacity(): number {
		return Math.floor(this._size);
	}

	wantsHealth(): boolean {
		return !this._isWitnessed;
	}

	onCompleted(msPerToken: number | undefined): void {
		if (this._isSlow(msPerToken)) {
			this._slowAnswers++;
			if (this._slowAnswers >= slowAnswersUntilCold) {
				this._fallBack();
			}

			return;
		}

		this._slowAnswers = 0;
		this._learnBaseline(msPerToken);
		this._size = Math.min(
			this._limits.maxWindow,
			this._size + growthPerCompletion,
		);
	}

	onFailed(): void {
		this._size = Math.max(this._limits.coldWindow, this._size / 2);
	}

	onIdle(): void {
		this._isWitnessed = false;
	}

	onSuspicion(): void {
		this._isWitnessed = false;
	}

	onRestart(): void {
		this._fallBack();
		this._baselineMsPerToken = undefined;
	}

	onWitnessed(): void {
		this._isWitnessed = true;
	}

	private _fallBack(): void {
		this._size = this._limits.coldWindow;
		this._slowAnswers = 0;
	}

	private _isSlow(msPerToken: number | undefined): boolean {
		return (
			msPerToken !== undefined &&
			this._baselineMsPerToken !== undefined &&
			msPerToken > slowFactor * this._baselineMsPerToken
		);
	}

	private _learnBaseline(msPerToken: number | undefined): void {
		if (msPerToken === undefined) {
			return;
		}

		const baseline = this._baselineMsPerToken ?? msPerToken;
		this._baselineMsPerToken =
			baseline + baselineWeight * (msPerToken - baseline);
	}
}

/** Creates a window that stays at the warm limit, for comparison. */
export function createFixedWindow(limits: AgentLimits): ConcurrencyWindow {
	return {
		limit: () => limits.maxWindow,
		capacity: () => limits.maxWindow,
		wantsHealth: () => false,
		onCompleted: ignore,
		onFailed: ignore,
		onIdle: ignore,
		onRestart: ignore,
		onWitnessed: ignore,
		onSuspicion: ignore,
	};
}
