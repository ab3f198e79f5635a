import {
	crashesUntilQuarantine,
	quarantineMs,
	crashRecordTtlMs,
} from './constants.js';

type CrashRecord = {
	readonly bootIds: ReadonlySet<string>;
	readonly expiresAt: number;
};

/** Tracks the fingerprints that ran when backend servers crashed, and quarantines repeated ones. */
export class CrashQuarantine {
	static create(): CrashQuarantine {
		return new CrashQuarantine();
	}

	private readonly _crashRecords = new Map<string, CrashRecord>();
	private readonly _quarantinedUntil = new Map<string, number>();

	private constructor() {}

	/** Records the fingerprints that ran on a boot of a backend server when it crashed. */
	recordCrash(
		fingerprints: readonly string[],
		bootId: string,
		now: number,
	): void {
		this._dropExpired(now);
		for (const fingerprint of fingerprints) {
			const earlierBootIds = this._crashRecords.get(fingerprint)?.bootIds ?? [];
			const bootIds = new Set([...earlierBootIds, bootId]);
			this._crashRecords.set(fingerprint, {
				bootIds,
				expiresAt: now + crashRecordTtlMs,
			});
			if (bootIds.size >= crashesUntilQuarantine) {
				this.add(fingerprint, quarantineMs, now);
			}
		}
	}

	/** Quarantines a fingerprint, or extends its quarantine. Never shortens it. */
	add(fingerprint: string, forMs: number, now: number): void {
		const until = Math.max(
			this._quarantinedUntil.get(fingerprint) ?? 0,
			now + forMs,
		);
		this._quarantinedUntil.set(fingerprint, until);
	}

	/** Remaining quarantine of the fingerprint in milliseconds, 0 if it is not quarantined. */
	remainingMs(fingerprint: string, now: number): number {
		return Math.max(0, (this._quarantinedUntil.get(fingerprint) ?? 0) - now);
	}

	private _dropExpired(now: number): void {
		for (const [fingerprint, {expiresAt}] of this._crashRecords) {
			if (expiresAt <= now) {
				this._crashRecords.delete(fingerprint);
			}
		}

		for (const [fingerprint, until] of this._quarantinedUntil) {
			if (until <= now) {
				this._quarantinedUntil.delete(fingerprint);
			}
		}
	}
}
