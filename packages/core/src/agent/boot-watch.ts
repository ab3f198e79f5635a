import {healthFailuresUntilDown} from './constants.js';
import type {BackendHealth} from './types.js';

/** What a health report says about the boot of the backend server. */
export type BootChange = 'first' | 'same' | 'restarted';

/** Watches whether the backend server is up and when it started anew. */
export class BootWatch {
	static create(): BootWatch {
		return new BootWatch();
	}

	private _bootId: string | undefined;
	private _uptimeMs = 0;
	private _failures = 0;
	private _isSuspicious = false;

	private constructor() {}

	/** Identifier of the last boot that was seen, empty before the first. */
	get bootId(): string {
		return this._bootId ?? '';
	}

	/** Whether a health report was seen and the backend server is not down since. */
	get isUp(): boolean {
		return (
			this._bootId !== undefined && this._failures < healthFailuresUntilDown
		);
	}

	/** Whether a request was refused or lost and no health report has come since. */
	get isSuspicious(): boolean {
		return this._isSuspicious;
	}

	onSuspicion(): void {
		this._isSuspicious = true;
	}

	onHealth({bootId, uptimeMs}: BackendHealth): BootChange {
		const change = this._compare(bootId, uptimeMs);
		this._bootId = bootId;
		this._uptimeMs = uptimeMs;
		this._failures = 0;
		this._isSuspicious = false;
		return change;
	}

	/** A failed health report right after a refused or lost request is enough; by itself it may be chance. */
	onUnreachable(): void {
		this._failures = this._isSuspicious
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
