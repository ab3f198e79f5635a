/** Removes the items that were added first until at most `maxSize` are left. */
export function dropOldest<Key>(
	items: {
		readonly size: number;
		keys(): IterableIterator<Key>;
		delete(key: Key): boolean;
	},
	maxSize: number,
): void {
	for (const key of items.keys()) {
		if (items.size <= maxSize) {
			return;
		}

		items.delete(key);
	}
}
