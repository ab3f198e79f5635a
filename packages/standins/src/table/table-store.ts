/** A row of the table service. */
export type Row = {
	readonly key: string;
	readonly value: unknown;
	readonly version: number;
};

/** Precondition on the current row for a write to succeed. */
export type WriteCondition =
	| {readonly kind: 'any'}
	| {readonly kind: 'absent'}
	| {readonly kind: 'version'; readonly version: number};

/** One write of a transaction. A null value deletes the row. */
export type TableWrite = {
	readonly table: string;
	readonly key: string;
	readonly value: unknown;
	readonly condition: WriteCondition;
};

/** A write whose condition failed, by its index in the transaction, with the current row. */
export type WriteConflict = {
	readonly index: number;
	// The protocol represents an absent row as null.
	// eslint-disable-next-line @typescript-eslint/no-restricted-types
	readonly current: Omit<Row, 'key'> | null;
};

/** Outcome of a transaction. */
export type TransactionResult =
	| {readonly kind: 'committed'; readonly versions: readonly number[]}
	| {readonly kind: 'conflict'; readonly conflicts: readonly WriteConflict[]};

/** In-memory tables with transactions of conditional writes. One counter for all tables assigns the row versions. */
export class TableStore {
	static create(): TableStore {
		return new TableStore();
	}

	private readonly _tables: Map<string, Map<string, Row>>;
	private readonly _sortedKeys = new Map<string, readonly string[]>();
	private _version = 0;

	private constructor() {
		this._tables = new Map();
	}

	/** Applies all writes, or none if any condition fails. */
	transact(writes: readonly TableWrite[]): TransactionResult {
		const conflicts = this._conflictsOf(writes);
		if (conflicts.length > 0) {
			return {kind: 'conflict', conflicts};
		}

		return {
			kind: 'committed',
			versions: writes.map(write => this._apply(write)),
		};
	}

	row(table: string, key: string): Row | undefined {
		return this._tables.get(table)?.get(key);
	}

	/** Lists at most `limit` rows, in key order, whose key starts with the prefix and is greater than `after`. */
	rows(
		table: string,
		prefix: string,
		after: string,
		limit: number,
	): readonly Row[] {
		const rows = this._tables.get(table);
		if (rows === undefined) {
			return [];
		}

		const found: Row[] = [];
		for (const key of this._keysOf(table, rows)) {
			if (found.length >= limit) {
				break;
			}

			const row = rows.get(key);
			if (row !== undefined && key > after && key.startsWith(prefix)) {
				found.push(row);
			}
		}

		return found;
	}

	private _conflictsOf(
		writes: readonly TableWrite[],
	): readonly WriteConflict[] {
		return writes.flatMap((write, index) => {
			const row = this.row(write.table, write.key);
			if (isConditionMet(write.condition, row)) {
				return [];
			}

			const current =
				row === undefined ? null : {value: row.value, version: row.version};
			return [{index, current}];
		});
	}

	private _apply(write: TableWrite): number {
		const {table, key, value} = write;
		const rows = this._tables.get(table) ?? new Map<string, Row>();
		this._tables.set(table, rows);
		this._version++;
		if (value === null) {
			rows.delete(key);
			this._sortedKeys.delete(table);
		} else {
			if (!rows.has(key)) {
				this._sortedKeys.delete(table);
			}

			rows.set(key, {key, value, version: this._version});
		}

		return this._version;
	}

	private _keysOf(
		table: string,
		rows: ReadonlyMap<string, Row>,
	): readonly string[] {
		const sorted = this._sortedKeys.get(table) ?? [...rows.keys()].toSorted();
		this._sortedKeys.set(table, sorted);
		return sorted;
	}
}

function isConditionMet(
	condition: WriteCondition,
	row: Row | undefined,
): boolean {
	switch (condition.kind) {
		case 'any': {
			return true;
		}

		case 'absent': {
			return row === undefined;
		}

		case 'version': {
			return row?.version === condition.version;
		}
	}
}
