import {
	crashesUntilQuarantine,
	quarantineMs,
	rememberedFingerprints,
} from './constants.js';

type Suspect = {
	readonly boots: ReadonlySet<string>;
	readonly lastCrashAt: number;
};

/** Remembers which requests were present when back ends died. One that was present at two crashes is quarantined. */
export class SuspectRegistry {
	static create(): SuspectRegistry {
		return new SuspectRegistry();
	}

	private readonly _suspects = new Map<string, Suspect>();

	/** Notes the fingerprints that ran on a back end as it died. A boot counts once. */
	noteCrash(
		fingerprints: readonly string[],
		bootId: string,
		now: number,
	): void {
		for (const fingerprint of fingerprints) {
			const boots = this._find(fingerprint, now)?.boots ?? [];
			this._suspects.delete(fingerprint);
			this._suspects.set(fingerprint, {
				boots: new Set([...boots, bootId].slice(-crashesUntilQuarantine)),
				lastCrashAt: now,
			});
		}

		this._forgetOldest();
	}

	/** Milliseconds until the fingerprint may run again, 0 if it may run now. */
	quarantinedForMs(fingerprint: string, now: number): number {
		const suspect = this._find(fingerprint, now);
		return suspect !== undefined && suspect.boots.size >= crashesUntilQuarantine
			? suspect.lastCrashAt + quarantineMs - now
			: 0;
	}

	private _find(fingerprint: string, now: number): Suspect | undefined {
		const suspect = this._suspects.get(fingerprint);
		return suspect !== undefined && now - suspect.lastCrashAt < quarantineMs
			? suspect
			: undefined;
	}

	private _forgetOldest(): void {
		for (const fingerprint of this._suspects.keys()) {
			if (this._suspects.size <= rememberedFingerprints) {
				return;
			}

			this._suspects.delete(fingerprint);
		}
	}
}
