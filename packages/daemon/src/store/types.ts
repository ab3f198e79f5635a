/** Condition that must hold for a write of a transaction. */
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

/** A row of the table service. Its value has not been validated. */
export type TableRow = {
	readonly key: string;
	readonly value: unknown;
	readonly version: number;
};

/** A write whose condition did not hold, with the current row. */
export type WriteConflict = {
	/** Index of the write in the transaction. */
	readonly index: number;
	/** Undefined if the row does not exist. */
	readonly current:
		{readonly value: unknown; readonly version: number} | undefined;
};

/** Result of a transaction. A conflict means that nothing was written. */
export type TransactionResult =
	/** The new versions of the rows, in the order of the writes. */
	| {readonly kind: 'committed'; readonly versions: readonly number[]}
	| {readonly kind: 'conflict'; readonly conflicts: readonly WriteConflict[]};

/** Range of rows to list. */
export type RowRange = {
	readonly prefix?: string;
	/** Lists only rows after this key. */
	readonly after?: string;
	readonly limit: number;
};

/** Interface of the table service. Failed calls are thrown as `StoreError`. */
export type TableStore = {
	transact(writes: readonly TableWrite[]): Promise<TransactionResult>;
	read(table: string, key: string): Promise<TableRow | undefined>;
	list(table: string, range: RowRange): Promise<readonly TableRow[]>;
};

/** Interface of the object store. Failed calls are thrown as `StoreError`. */
export type ObjectStore = {
	/** Writes an object unless it exists. */
	put(name: string, body: string): Promise<void>;
	/** Returns the object's content, or undefined if it does not exist. */
	get(name: string): Promise<string | undefined>;
};
