/** The parts of the table service's client that the rate and claim tasks use. */

/** One conditional write of a transaction. A value of null deletes the row. */
export type TableWrite = {
	readonly table: string;
	readonly key: string;
	readonly value: unknown;
	readonly condition:
		| {readonly kind: 'any'}
		| {readonly kind: 'absent'}
		| {readonly kind: 'version'; readonly version: number};
};

/** A row whose value is unchecked. */
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

/** The table service. Failures are thrown as errors with an `outcome`. */
export type TableStore = {
	transact(writes: readonly TableWrite[]): Promise<TransactionResult>;
	read(table: string, key: string): Promise<TableRow | undefined>;
	list(
		table: string,
		range: {
			readonly prefix?: string;
			readonly after?: string;
			readonly limit: number;
		},
	): Promise<readonly TableRow[]>;
};

/** Whether a failed call of the store surely took no effect and will take none. */
export function isSurelyNotWritten(error: unknown): boolean {
	return (
		error instanceof Error &&
		'outcome' in error &&
		error.outcome === 'notWritten'
	);
}
