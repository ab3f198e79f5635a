import {type BootChange, BootWatch} from './boot-watch.js';
import {CrashQuarantine} from './crash-quarantine.js';
import type {BackendFault, BackendHealth} from './types.js';

/** What ran on the backend server when it died. */
export type CrashReport = {
	readonly fingerprints: readonly string[];
	readonly bootId: string;
};

/** Watches whether the backend server is up, and what ran on it when it died. */
export class CrashWatch {
	static create(): CrashWatch {
		return new CrashWatch();
	}

	private readonly _boot = BootWatch.create();
	private readonly _quarantine = CrashQuarantine.create();
	/** Fingerprints that ran on connections which broke since the last health report. */
	private _lost: string[] = [];

	private constructor() {}

	get isUp(): boolean {
		return this._boot.isUp;
	}

	/** Whether the backend server is up for all that is known, but refused or lost a request since the last report. */
	get isDoubtful(): boolean {
		return this._boot.isUp && this._boot.isSuspicious;
	}

	/** Milliseconds for which the fingerprint is still refused, 0 where it is not. */
	quarantinedForMs(fingerprint: string, now: number): number {
		return this._quarantine.refusedForMs(fingerprint, now);
	}

	/** Takes in what another process learned. */
	learnQuarantine(fingerprint: string, forMs: number, now: number): void {
		this._quarantine.refuse(fingerprint, forMs, now);
	}

	/** A rejection is doubtful too: the backend server may have started anew and lost its adapters. */
	onFault(fault: BackendFault, fingerprint: string): void {
		if (isConnectionFault(fault) || fault === 'rejected') {
			this._boot.onSuspicion();
		}

		if (fault === 'connection_lost') {
			this._lost.push(fingerprint);
		}
	}

	/** Takes in a health report. What ran is reported where the backend server started anew. */
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
		this._lost = [];
		return {change, report};
	}

	/**
	 * The backend server gave no health report. Where it counts as down, what ran on broken connections is reported.
	 * Requests whose connections stand are no suspects yet: the backend server may only be silent.
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
		const fingerprints = [...new Set([...this._lost, ...running])];
		this._lost = [];
		if (fingerprints.length === 0) {
			return undefined;
		}

		this._quarantine.noteCrash(fingerprints, bootId, now);
		return {fingerprints, bootId};
	}
}

/** Whether the backend server may have died. */
export function isConnectionFault(fault: BackendFault): boolean {
	return fault === 'connection_lost' || fault === 'unreachable';
}
