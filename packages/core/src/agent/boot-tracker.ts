import {healthFailuresUntilDown} from './constants.js';
import type {BackendHealth} from './types.js';

/** How the boot in a health report compares with the last known one. */
export type BootChange = 'first' | 'same' | 'restarted';

/** Tracks whether the backend server is up and detects its restarts. */
export class BootTracker {
	static create(): BootTracker {
		return new BootTracker();
	}

	private _bootId: string | undefined;
	private _uptimeMs = 0;
	private _failures = 0;
	private _isUnconfirmed = false;

	private constructor() {}

	/** ID of the last reported boot, empty before the first report. */
	get bootId(): string {
		return this._bootId ?? '';
	}

	/** Whether a health report has arrived and the backend server has not gone down since. */
	get isUp(): boolean {
		return (
			this._bootId !== undefined && this._failures < healthFailuresUntilDown
		);
	}

	/** Whether a request was rejected or lost and no health report has arrived since. */
	get isUnconfirmed(): boolean {
		return this._isUnconfirmed;
	}

	onPossibleRestart(): void {
		this._isUnconfirmed = true;
	}

	onHealth({bootId, uptimeMs}: BackendHealth): BootChange {
		const change = this._compare(bootId, uptimeMs);
		this._bootId = bootId;
		this._uptimeMs = uptimeMs;
		this._failures = 0;
		this._isUnconfirmed = false;
		return change;
	}

	/**
	 * Handles a failed health check. One failure marks the server as down if a request was rejected or lost before.
	 * Otherwise `healthFailuresUntilDown` failures in a row are needed, since a single one may be chance.
	 */
	onUnreachable(): void {
		this._failures = this._isUnconfirmed
			? healthFailuresUntilDown
			: this._failures + 1;
	}

	private _compare(bootId: string, uptimeMs: number): BootChange {
		if (this._bootId === undefined) {
			return 'first';
		}

		return bootId === this._bootId && uptimeMs >= this._uptimeMs
			? 'same'
			: 'restarted';
	}
}
