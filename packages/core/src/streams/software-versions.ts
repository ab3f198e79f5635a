import type {ServerRecord} from '../placement/types.js';
import {maxStreamLifetimeMs, maxVersionListAgeMs} from './constants.js';

/** Time at which a software version was last listed; infinite while it is listed. */
type LastListed = Map<string, number>;

/** Follows which software versions of each service are listed, and since when this is known without a gap. */
export class SoftwareVersions {
	static create(): SoftwareVersions {
		return new SoftwareVersions();
	}

	private _followedSince = Number.POSITIVE_INFINITY;
	private readonly _services = new Map<string, LastListed>();

	private constructor() {}

	/**
	 * Notes that the list is known to be the newest, before its rows are applied.
	 *
	 * @param sinceMs time since it was last known to be the newest, in milliseconds; infinite for the first list
	 */
	noteConfirmed(sinceMs: number, now: number): void {
		if (sinceMs > maxVersionListAgeMs) {
			this._followedSince = now;
		}
	}

	/** Applies the list of servers. */
	update(records: Iterable<ServerRecord>, now: number): void {
		if (this._followedSince === Number.POSITIVE_INFINITY) {
			this._followedSince = now;
		}

		for (const versions of this._services.values()) {
			for (const [version, listedAt] of versions) {
				if (listedAt === Number.POSITIVE_INFINITY) {
					versions.set(version, now);
				} else if (now - listedAt > maxStreamLifetimeMs) {
					versions.delete(version);
				}
			}
		}

		for (const {service, softwareVersion = ''} of records) {
			const versions = this._services.get(service) ?? new Map<string, number>();
			this._services.set(service, versions);
			versions.set(softwareVersion, Number.POSITIVE_INFINITY);
		}
	}

	/** Forgets since when the list is known, because this host may have missed changes. */
	resetFollowing(now: number): void {
		this._followedSince = now;
	}

	/** Whether the service has servers and none of them says its software version. */
	isUnversioned(service: string): boolean {
		const versions = [...(this._services.get(service)?.keys() ?? [])];
		return versions.length === 1 && versions[0] === '';
	}

	/** Software versions of the service's servers that are listed now. */
	listed(service: string): readonly string[] {
		return [...(this._services.get(service) ?? [])]
			.filter(([, listedAt]) => listedAt === Number.POSITIVE_INFINITY)
			.map(([version]) => version);
	}

	/**
	 * The only software version of the service that was listed for a time; undefined if there were others, or if the list
	 * was not known all the time.
	 *
	 * @param confirmedAt time at which the list was last known to be the newest
	 */
	onlyVersion(
		service: string,
		spanMs: number,
		{confirmedAt, now}: {readonly confirmedAt: number; readonly now: number},
	): string | undefined {
		if (
			now - confirmedAt > maxVersionListAgeMs ||
			now - this._followedSince < spanMs
		) {
			return undefined;
		}

		const recent = [...(this._services.get(service) ?? [])]
			.filter(([, listedAt]) => now - listedAt <= spanMs)
			.map(([version]) => version);
		return recent.length === 1 ? recent[0] : undefined;
	}
}
