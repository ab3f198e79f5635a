/** Condition under which a write of a transaction is made. */
export type WriteCondition =
	| {readonly kind: 'any'}
	| {readonly kind: 'absent'}
	| {readonly kind: 'version'; readonly version: number};

/** One write of a transaction. A value of null deletes the row. */
export type TableWrite = {
	readonly table: string;
	readonly key: string;
	readonly value: unknown;
	readonly condition: WriteCondition;
};

/** A row of the table service. Its value is unchecked. */
export type TableRow = {
	readonly key: string;
	readonly value: unknown;
	readonly version: number;
};

/** A write whose condition did not hold, with the row as it is. */
export type WriteConflict = {
	readonly index: number;
	readonly current:
		{readonly value: unknown; readonly version: number} | undefined;
};

/** Outcome of a transaction that the table service answered. */
export type TransactionResult =
	| {readonly kind: 'committed'; readonly versions: readonly number[]}
	| {readonly kind: 'conflict'; readonly conflicts: readonly WriteConflict[]};

/** Which rows to list. */
export type RowRange = {
	readonly prefix?: string;
	/** Rows after this key only. */
	readonly after?: string;
	readonly limit: number;
};

/** The table service, as the tasks use it. Failures are thrown as `StoreError`. */
export type TableStore = {
	transact(writes: readonly TableWrite[]): Promise<TransactionResult>;
	read(table: string, key: string): Promise<TableRow | undefined>;
	list(table: string, range: RowRange): Promise<readonly TableRow[]>;
};

/** The object store, as the tasks use it. Failures are thrown as `StoreError`. */
export type ObjectStore = {
	put(name: string, body: string): Promise<void>;
	get(name: string): Promise<string | undefined>;
};
