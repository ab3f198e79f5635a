import {compareStoreVersions, type StoreVersion} from '@balsamtray/core';
import type {Endpoint} from './types.js';

/** What an entry tells its peers about its copy of a table. */
export type TableAnnouncement = {
	/** Changes with each change of the copy, and differs between processes. */
	readonly revision: number;
	/** Time since the copy was last known to be the newest, in milliseconds. */
	readonly ageMs: number;
	/** Era of the store that the copy is as of. 0 if absent. */
	readonly era?: number;
};

/** A copy of a table as entries send it to each other. */
export type TableCopy<Row> = TableAnnouncement & {
	readonly rows: readonly Row[];
	/** Store version, in the announced era, that the rows are as of. */
	readonly version: number;
};

export type RelayedTableOptions<Row> = {
	readonly name: string;
	readonly clock: () => number;
	readonly rows: () => readonly Row[];
	/** Replaces the table by a copy of a store version. Returns whether it has changed. */
	readonly apply: (
		copy: TableCopy<Row>,
		version: StoreVersion,
		now: number,
	) => boolean;
	readonly fetch: (from: Endpoint) => Promise<TableCopy<Row>>;
	/** Age of the copy from which it is fetched from any entry that has a newer one, in milliseconds. */
	readonly staleAgeMs: number;
	/**
	 * Called when the copy is known to be the newest as of a later time than before, before its rows are applied.
	 *
	 * @param sinceMs time since it was last known to be the newest, in milliseconds; infinite for the first copy
	 */
	readonly onConfirmed: (sinceMs: number, now: number) => void;
	/** Called when the table has changed, so that peers should hear of it. */
	readonly onChanged: () => void;
	readonly onError: (step: string, err: unknown) => void;
};

/**
 * A table of the store that entries pass on to each other, so that only few of them read it. Fetches the copy of a peer
 * when the peer announces a revision that was not fetched yet.
 */
export class RelayedTable<Row> {
	static create<Row>(options: RelayedTableOptions<Row>): RelayedTable<Row> {
		return new RelayedTable(options);
	}

	/** Last revision that was fetched from each peer. */
	private readonly _fetched = new Map<string, number>();
	private _revision = Date.now();
	private _version: StoreVersion = {era: 0, version: -1};
	private _confirmedAt = Number.NEGATIVE_INFINITY;
	private _isFetching = false;

	private constructor(private readonly _options: RelayedTableOptions<Row>) {}

	/** Time at which the copy was last known to be the newest; negative infinity if never. */
	get confirmedAt(): number {
		return this._confirmedAt;
	}

	/** Store version of the copy; negative before the first. */
	get version(): StoreVersion {
		return this._version;
	}

	/**
	 * Notes that the rows of a version, applied or about to be, were the newest at a time. What was known of an earlier era
	 * no longer counts.
	 */
	confirm(at: number, version: StoreVersion, now: number): void {
		const isNewEra = version.era > this._version.era;
		if (isNewEra || at > this._confirmedAt) {
			this._options.onConfirmed(at - this._confirmedAt, now);
			this._confirmedAt = at;
		}

		if (compareStoreVersions(version, this._version) > 0) {
			this._version = version;
		}
	}

	/** Records a read of the store that began at `startedAt`. The rows are already applied. */
	noteRead(
		version: StoreVersion,
		startedAt: number,
		hasChanged: boolean,
	): void {
		this.confirm(startedAt, version, this._options.clock());
		if (hasChanged) {
			this._noteChange();
		}
	}

	/** Fetches the copies of peers again, since what became of rows that the store has lost is decided now. */
	noteSettled(): void {
		this._fetched.clear();
	}

	/** What to tell peers; undefined before the first read. */
	announcement(now: number): TableAnnouncement | undefined {
		return Number.isFinite(this._confirmedAt)
			? {
					revision: this._revision,
					ageMs: Math.round(now - this._confirmedAt),
					...(this._version.era > 0 && {era: this._version.era}),
				}
			: undefined;
	}

	/** The copy for a peer; undefined before the first read. */
	copy(now: number): TableCopy<Row> | undefined {
		const announcement = this.announcement(now);
		return (
			announcement && {
				...announcement,
				rows: this._options.rows(),
				version: this._version.version,
			}
		);
	}

	/** @param isParent whether this entry relies on the peer for changes; other peers only help when the copy is stale */
	onAnnouncement(
		peer: {readonly id: string; readonly endpoint: Endpoint},
		{revision, ageMs, era = 0}: TableAnnouncement,
		isParent: boolean,
	): void {
		const now = this._options.clock();
		if (era < this._version.era) {
			// A copy of an earlier era proves nothing about this one.
			return;
		}

		const isNewEra = era > this._version.era;
		if (!isNewEra && this._fetched.get(peer.id) === revision) {
			this.confirm(now - ageMs, this._version, now);
			return;
		}

		const isStale = now - this._confirmedAt > this._options.staleAgeMs;
		if (isParent || isNewEra || (isStale && now - ageMs > this._confirmedAt)) {
			void this._fetch(peer);
		}
	}

	private async _fetch(peer: {
		readonly id: string;
		readonly endpoint: Endpoint;
	}): Promise<void> {
		if (this._isFetching) {
			return;
		}

		const {fetch, clock, apply, name, onError} = this._options;
		this._isFetching = true;
		try {
			const startedAt = clock();
			const copy = await fetch(peer.endpoint);
			const now = clock();
			const version = {era: copy.era ?? 0, version: copy.version};
			if (compareStoreVersions(version, this._version) >= 0) {
				this._fetched.set(peer.id, copy.revision);
				this.confirm(startedAt - copy.ageMs, version, now);
				const hasChanged = apply(copy, version, now);
				if (hasChanged) {
					this._noteChange();
				}
			}
		} catch (error) {
			onError(`${name} of ${peer.id}`, error);
		} finally {
			this._isFetching = false;
		}
	}

	private _noteChange(): void {
		this._revision++;
		this._options.onChanged();
	}
}
