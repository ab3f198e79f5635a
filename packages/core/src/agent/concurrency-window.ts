import {ignore} from './ignore.js';
import type {AgentLimits} from './types.js';

/** Limits the number of requests that run concurrently on a backend server. */
export type ConcurrencyWindow = {
	/** Current maximum of concurrent requests. */
	limit(): number;
	/** The limit once the boot is confirmed, for estimates. */
	capacity(): number;
	/** Whether a health report is missing to confirm the boot, which may raise the limit. */
	needsHealthReport(): boolean;
	/** A request completed. `msPerToken` is undefined if it generated no tokens. */
	onCompleted(msPerToken: number | undefined): void;
	onFailed(): void;
	/** The last running request has ended. */
	onIdle(): void;
	/** The backend server restarted. */
	onRestart(): void;
	/** A health report requested within the current busy period showed the boot. */
	onBootConfirmed(): void;
	/** A connection broke or could not be made, so the backend server may have restarted. */
	onPossibleRestart(): void;
};

/** Growth of the window with each completed request, in requests. */
const growthPerCompletion = 0.5;
/** An answer is slow if its time per token exceeds the baseline by this factor. */
const slowFactor = 3;
/** Consecutive slow answers after which the window falls back to the cold limit. */
const slowAnswersUntilReset = 3;
/** Weight of a new answer in the moving average of the time per token. */
const baselineWeight = 0.1;

/**
 * Window that starts at the cold limit, grows with each completed request, and falls back to the
 * cold limit when the backend server restarts or its answers become much slower.
 *
 * An undetected restart would expose a cold backend server to the grown window. So the window exceeds the
 * cold limit only while the boot is confirmed: a health report showed it while a request ran, and since then
 * at least one request has run at any time and no connection has broken. After an idle period, the cold limit
 * applies until the next report.
 */
export class ColdStartWindow implements ConcurrencyWindow {
	static create(limits: AgentLimits): ColdStartWindow {
		return new ColdStartWindow(limits);
	}

	private _size: number;
	private _isBootConfirmed = false;
	private _baselineMsPerToken: number | undefined;
	private _slowAnswers = 0;

	private constructor(private readonly _limits: AgentLimits) {
		this._size = _limits.coldWindow;
	}

	limit(): number {
		return this._isBootConfirmed
			? this.capacity()
			: Math.min(this._limits.coldWindow, this.capacity());
	}

	capacity(): number {
		return Math.floor(this._size);
	}

	needsHealthReport(): boolean {
		return !this._isBootConfirmed;
	}

	onCompleted(msPerToken: number | undefined): void {
		if (this._isSlow(msPerToken)) {
			this._slowAnswers++;
			if (this._slowAnswers >= slowAnswersUntilReset) {
				this._resetToColdLimit();
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
		this._isBootConfirmed = false;
	}

	onPossibleRestart(): void {
		this._isBootConfirmed = false;
	}

	onRestart(): void {
		this._resetToColdLimit();
		this._baselineMsPerToken = undefined;
	}

	onBootConfirmed(): void {
		this._isBootConfirmed = true;
	}

	private _resetToColdLimit(): void {
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

/** Creates a window that stays at the maximum, as a baseline for comparison. */
export function createFixedWindow(limits: AgentLimits): ConcurrencyWindow {
	return {
		limit: () => limits.maxWindow,
		capacity: () => limits.maxWindow,
		needsHealthReport: () => false,
		onCompleted: ignore,
		onFailed: ignore,
		onIdle: ignore,
		onRestart: ignore,
		onBootConfirmed: ignore,
		onPossibleRestart: ignore,
	};
}
