import {
	crashesUntilQuarantine,
	quarantineMs,
	maxTrackedFingerprints,
} from './constants.js';

type Suspect = {
	readonly bootIds: ReadonlySet<string>;
	readonly lastCrashAt: number;
};

/** Tracks requests that were running when a backend server crashed. Two crashes quarantine a request. */
export class SuspectRegistry {
	static create(): SuspectRegistry {
		return new SuspectRegistry();
	}

	private readonly _suspects = new Map<string, Suspect>();

	/** Records fingerprints that were running on a backend server when it crashed. Each `bootId` counts once. */
	noteCrash(
		fingerprints: readonly string[],
		bootId: string,
		now: number,
	): void {
		for (const fingerprint of fingerprints) {
			const bootIds = this._find(fingerprint, now)?.bootIds ?? [];
			this._suspects.delete(fingerprint);
			this._suspects.set(fingerprint, {
				bootIds: new Set(
					[...new Set([...bootIds, bootId])].slice(-crashesUntilQuarantine),
				),
				lastCrashAt: now,
			});
		}

		this._evictOldest();
	}

	/** Returns the milliseconds until the fingerprint may run again, or 0 if it may run now. */
	quarantinedForMs(fingerprint: string, now: number): number {
		const suspect = this._find(fingerprint, now);
		return suspect !== undefined &&
			suspect.bootIds.size >= crashesUntilQuarantine
			? suspect.lastCrashAt + quarantineMs - now
			: 0;
	}

	private _find(fingerprint: string, now: number): Suspect | undefined {
		const suspect = this._suspects.get(fingerprint);
		return suspect !== undefined && now - suspect.lastCrashAt < quarantineMs
			? suspect
			: undefined;
	}

	private _evictOldest(): void {
		for (const fingerprint of this._suspects.keys()) {
			if (this._suspects.size <= maxTrackedFingerprints) {
				return;
			}

			this._suspects.delete(fingerprint);
		}
	}
}
