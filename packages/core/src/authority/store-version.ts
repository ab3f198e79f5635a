/**
 * A version that the store gave out. After the store came back from a copy it gives out versions again, so versions are
 * ordered by the era first.
 */
export type StoreVersion = {
	/** Number of times that the store came back from a copy; 0 for a store that does not tell. */
	readonly era: number;
	readonly version: number;
};

/** Version before the first. */
export const initialStoreVersion: StoreVersion = {era: 0, version: 0};

/** Returns a negative number if `a` is older than `b`, 0 if they are equal, and a positive number if `a` is newer. */
export function compareStoreVersions(a: StoreVersion, b: StoreVersion): number {
	return a.era - b.era || a.version - b.version;
}

/** Returns the newer of two versions. */
export function newerStoreVersion(
	a: StoreVersion,
	b: StoreVersion,
): StoreVersion {
	return compareStoreVersions(a, b) < 0 ? b : a;
}

/** Returns the version of a row. Rows from processes and stores without eras are of era 0. */
export function versionOfRow({
	era = 0,
	rowVersion,
}: {
	readonly era?: number;
	readonly rowVersion: number;
}): StoreVersion {
	return {era, version: rowVersion};
}

/** Marks rows with the era in which they were read. */
export function rowsOfEra<Row extends {readonly rowVersion: number}>(
	rows: readonly Row[],
	era: number,
): ReadonlyArray<Row & {readonly era?: number}> {
	return era === 0 ? rows : rows.map(row => ({...row, era}));
}
