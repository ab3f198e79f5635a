import {dropOldest} from '../common/drop-oldest.js';
import {hashString} from '../common/rendezvous.js';
import {
	crashesUntilQuarantine,
	maxToldQuarantines,
	quarantineMs,
	maxTrackedFingerprints,
} from './constants.js';

type Suspect = {
	readonly bootIds: ReadonlySet<string>;
	readonly lastCrashAt: number;
};

/** A quarantined request, as entries tell each other. */
export type QuarantinedRequest = {
	readonly fingerprint: string;
	/** Identifiers of the server starts that it crashed. */
	readonly bootIds: readonly string[];
	/** Time since the last crash, in milliseconds. */
	readonly agoMs: number;
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
			const {bootIds = [], lastCrashAt = now} =
				this._find(fingerprint, now) ?? {};
			this._suspects.delete(fingerprint);
			this._suspects.set(fingerprint, {
				bootIds: new Set(
					[...new Set([...bootIds, bootId])].slice(-crashesUntilQuarantine),
				),
				lastCrashAt: Math.max(lastCrashAt, now),
			});
		}

		dropOldest(this._suspects, maxTrackedFingerprints);
	}

	/** Returns the milliseconds until the fingerprint may run again, or 0 if it may run now. */
	quarantinedForMs(fingerprint: string, now: number): number {
		const suspect = this._find(fingerprint, now);
		return suspect !== undefined &&
			suspect.bootIds.size >= crashesUntilQuarantine
			? suspect.lastCrashAt + quarantineMs - now
			: 0;
	}

	/** The quarantined requests, those that crashed last first, for an entry that has just started or was cut off. */
	quarantined(now: number): readonly QuarantinedRequest[] {
		return [...this._suspects.keys()]
			.flatMap(fingerprint => {
				const {bootIds, lastCrashAt} = this._find(fingerprint, now) ?? {};
				return bootIds !== undefined && bootIds.size >= crashesUntilQuarantine
					? {
							fingerprint,
							bootIds: [...bootIds],
							agoMs: now - (lastCrashAt ?? now),
						}
					: [];
			})
			.toSorted((a, b) => a.agoMs - b.agoMs)
			.slice(0, maxToldQuarantines);
	}

	/** Text that differs if other requests are quarantined; empty without any. */
	digest(now: number): string {
		const fingerprints = this.quarantined(now).map(
			({fingerprint}) => fingerprint,
		);
		return fingerprints.length === 0
			? ''
			: hashString(fingerprints.toSorted().join('\n')).toString(36);
	}

	/** Takes what another entry knows. Ignores items that are malformed or too old. */
	merge(requests: readonly unknown[], now: number): void {
		for (const request of requests.slice(0, maxToldQuarantines)) {
			if (!isQuarantinedRequest(request) || request.agoMs >= quarantineMs) {
				continue;
			}

			const {fingerprint, bootIds, agoMs} = request;
			for (const bootId of bootIds.slice(-crashesUntilQuarantine)) {
				this.noteCrash([fingerprint], bootId, now - agoMs);
			}
		}
	}

	private _find(fingerprint: string, now: number): Suspect | undefined {
		const suspect = this._suspects.get(fingerprint);
		return suspect !== undefined && now - suspect.lastCrashAt < quarantineMs
			? suspect
			: undefined;
	}
}

function isQuarantinedRequest(value: unknown): value is QuarantinedRequest {
	return (
		typeof value === 'object' &&
		value !== null &&
		'fingerprint' in value &&
		typeof value.fingerprint === 'string' &&
		'bootIds' in value &&
		Array.isArray(value.bootIds) &&
		value.bootIds.every(bootId => typeof bootId === 'string') &&
		'agoMs' in value &&
		typeof value.agoMs === 'number' &&
		value.agoMs >= 0
	);
}
