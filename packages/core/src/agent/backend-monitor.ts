import {type BootChange, BootTracker} from './boot-tracker.js';
import {CrashQuarantine} from './crash-quarantine.js';
import type {BackendFault, BackendHealth} from './types.js';

/** The fingerprints that ran on a boot of the backend server when it crashed. */
export type CrashReport = {
	readonly fingerprints: readonly string[];
	readonly bootId: string;
};

/** Monitors whether the backend server is up, and quarantines fingerprints that ran when it crashed. */
export class BackendMonitor {
	static create(): BackendMonitor {
		return new BackendMonitor();
	}

	private readonly _boot = BootTracker.create();
	private readonly _quarantine = CrashQuarantine.create();
	/** Fingerprints of requests whose connections broke since the last health report. */
	private _lostFingerprints: string[] = [];

	private constructor() {}

	get isUp(): boolean {
		return this._boot.isUp;
	}

	/** Whether the backend server counts as up, but rejected or lost a request since the last health report. */
	get isUnconfirmed(): boolean {
		return this._boot.isUp && this._boot.isUnconfirmed;
	}

	/** Remaining quarantine of the fingerprint in milliseconds, 0 if it is not quarantined. */
	remainingQuarantineMs(fingerprint: string, now: number): number {
		return this._quarantine.remainingMs(fingerprint, now);
	}

	/** Applies a quarantine that another process reported. */
	learnQuarantine(fingerprint: string, forMs: number, now: number): void {
		this._quarantine.add(fingerprint, forMs, now);
	}

	/** Handles a failed request. A rejection may mean that the backend server restarted and lost its adapters. */
	onFault(fault: BackendFault, fingerprint: string): void {
		if (isConnectionFault(fault) || fault === 'rejected') {
			this._boot.onPossibleRestart();
		}

		if (fault === 'connection_lost') {
			this._lostFingerprints.push(fingerprint);
		}
	}

	/** Handles a health report. Returns a crash report if the backend server restarted while requests ran. */
	onHealth(
		health: BackendHealth,
		running: readonly string[],
		now: number,
	): {readonly change: BootChange; readonly report: CrashReport | undefined} {
		const {bootId} = this._boot;
		const change = this._boot.onHealth(health);
		const report =
			change === 'restarted'
				? this._reportCrash(bootId, running, now)
				: undefined;
		this._lostFingerprints = [];
		return {change, report};
	}

	/**
	 * Handles a failed health check. If the server counts as down, reports the requests whose connections broke.
	 * Requests on open connections are not reported: the backend server may be alive and not respond.
	 */
	onUnreachable(now: number): CrashReport | undefined {
		this._boot.onUnreachable();
		return this._boot.isUp
			? undefined
			: this._reportCrash(this._boot.bootId, [], now);
	}

	private _reportCrash(
		bootId: string,
		running: readonly string[],
		now: number,
	): CrashReport | undefined {
		const fingerprints = [...new Set([...this._lostFingerprints, ...running])];
		this._lostFingerprints = [];
		if (fingerprints.length === 0) {
			return undefined;
		}

		this._quarantine.recordCrash(fingerprints, bootId, now);
		return {fingerprints, bootId};
	}
}

/** Whether the fault may mean that the backend server crashed. */
export function isConnectionFault(fault: BackendFault): boolean {
	return fault === 'connection_lost' || fault === 'unreachable';
}
