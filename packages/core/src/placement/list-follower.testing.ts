import {StoreEra} from '../authority/store-era.js';
import {
	compareStoreVersions,
	initialStoreVersion,
	rowsOfEra,
	type StoreVersion,
} from '../authority/store-version.js';
import {TableCursor} from '../authority/table-cursor.js';
import {FleetView} from './fleet-view.js';
import type {ServerChange} from './types.js';

/** Result of a read of the list: the rows after a version, or the whole list. */
export type ListRead = {
	readonly rows: readonly ServerChange[];
	readonly era: number;
	readonly version: number;
};

export type ReadableList = {
	/** @returns undefined if the list has no version that new */
	readonly read: (after: number | undefined) => ListRead | undefined;
};

/** An entry's list of servers, with the store version that it is as of. */
export class ListFollower {
	readonly era = StoreEra.create();
	readonly cursor = TableCursor.create(this.era);
	readonly fleet = FleetView.create({
		zone: 'z',
		isZoneOut: () => false,
		newestVersion: () => undefined,
		minVersion: () => 0,
		serviceOf: () => undefined,
		coldBound: () => 0,
		entryCount: () => 1,
		onNewWant: () => undefined,
	});

	version: StoreVersion = initialStoreVersion;

	noteEra(era: number, now: number): void {
		if (this.era.note(era, now)) {
			this.fleet.noteEra(now);
		}
	}

	read(list: ReadableList, now: number): void {
		const isSnapshot = this.cursor.needsSnapshot(now);
		const read = list.read(isSnapshot ? undefined : this.cursor.version);
		if (read === undefined) {
			this.cursor.noteHistoryLost();
			return;
		}

		this.noteEra(read.era, now);
		if (this.cursor.judge(read, isSnapshot, now) !== 'current') {
			return;
		}

		const rows = rowsOfEra(read.rows, read.era);
		if (isSnapshot) {
			this.fleet.applyAll(rows, read, now);
		} else {
			this.fleet.apply(rows, now);
		}

		this.version = {era: read.era, version: read.version};
	}

	copyFrom(other: ListFollower, now: number): void {
		if (compareStoreVersions(other.version, this.version) >= 0) {
			this.noteEra(other.version.era, now);
			this.fleet.applyAll(other.fleet.listedRows(), other.version, now);
			this.version = other.version;
		}
	}
}
