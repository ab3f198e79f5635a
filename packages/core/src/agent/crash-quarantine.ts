import {
	crashesUntilQuarantine,
	quarantineMs,
	suspicionMs,
} from './constants.js';

type Suspicion = {
	readonly bootIds: ReadonlySet<string>;
	readonly until: number;
};

/** Fingerprints that ran when a backend server died, and those that are refused for it. */
export class CrashQuarantine {
	static create(): CrashQuarantine {
		return new CrashQuarantine();
	}

	private readonly _suspicions = new Map<string, Suspicion>();
	private readonly _refusedUntil = new Map<string, number>();

	private constructor() {}

	/** Notes what ran on a backend server when it died. */
	noteCrash(
		fingerprints: readonly string[],
		bootId: string,
		now: number,
	): void {
		this._dropExpired(now);
		for (const fingerprint of fingerprints) {
			const earlier = this._suspicions.get(fingerprint)?.bootIds ?? [];
			const bootIds = new Set([...earlier, bootId]);
			this._suspicions.set(fingerprint, {bootIds, until: now + suspicionMs});
			if (bootIds.size >= crashesUntilQuarantine) {
				this.refuse(fingerprint, quarantineMs, now);
			}
		}
	}

	refuse(fingerprint: string, forMs: number, now: number): void {
		const until = Math.max(
			this._refusedUntil.get(fingerprint) ?? 0,
			now + forMs,
		);
		this._refusedUntil.set(fingerprint, until);
	}

	/** Milliseconds for which the fingerprint is still refused, 0 where it is not. */
	refusedForMs(fingerprint: string, now: number): number {
		return Math.max(0, (this._refusedUntil.get(fingerprint) ?? 0) - now);
	}

	private _dropExpired(now: number): void {
		for (const [fingerprint, {until}] of this._suspicions) {
			if (until <= now) {
				this._suspicions.delete(fingerprint);
			}
		}

		for (const [fingerprint, until] of this._refusedUntil) {
			if (until <= now) {
				this._refusedUntil.delete(fingerprint);
			}
		}
	}
}
