import {type Customer, ConfigState} from '@balsamtray/core';
import type {ConfigService, Telemetry} from '../common/types.js';
import {StoreError} from '../store/store-error.js';
import type {
	RowRange,
	TableRow,
	TableStore,
	TableWrite,
	TransactionResult,
} from '../store/types.js';

/** In-memory table service. */
export class MemoryTable implements TableStore {
	static create(): MemoryTable {
		return new MemoryTable();
	}

	isDown = false;
	private _version = 0;
	private readonly _rows = new Map<string, Map<string, TableRow>>();

	private constructor() {
		// Instances come from `create`.
	}

	async transact(writes: readonly TableWrite[]): Promise<TransactionResult> {
		this._failIfDown();
		const conflicts = [];
		for (const [index, {table, key, condition}] of writes.entries()) {
			const current = this._table(table).get(key);
			const isMet =
				condition.kind === 'any' ||
				(condition.kind === 'absent' && current === undefined) ||
				(condition.kind === 'version' &&
					current?.version === condition.version);
			if (!isMet) {
				conflicts.push({index, current});
			}
		}

		if (conflicts.length > 0) {
			return {kind: 'conflict', conflicts};
		}

		const versions = writes.map(({table, key, value}) => {
			const version = ++this._version;
			this._table(table).set(key, {key, value, version});
			return version;
		});
		return {kind: 'committed', versions};
	}

	async read(table: string, key: string): Promise<TableRow | undefined> {
		this._failIfDown();
		return this._table(table).get(key);
	}

	async list(table: string, range: RowRange): Promise<readonly TableRow[]> {
		this._failIfDown();
		return [...this._table(table).values()]
			.filter(row => range.after === undefined || row.key > range.after)
			.slice(0, range.limit);
	}

	countRows(table: string, isCounted: (value: unknown) => boolean): number {
		return [...this._table(table).values()].filter(row => isCounted(row.value))
			.length;
	}

	private _failIfDown(): void {
		if (this.isDown) {
			throw StoreError.create('table service', 'notWritten', 'is down');
		}
	}

	private _table(name: string): Map<string, TableRow> {
		const known = this._rows.get(name) ?? new Map<string, TableRow>();
		this._rows.set(name, known);
		return known;
	}
}

/** Creates a configuration with these customers that never changes. */
export function createTestConfig(
	customers: readonly Customer[],
): ConfigService {
	const view = ConfigState.fromSnapshot({
		version: 1,
		documentDigest: '',
		customers,
		adapters: [],
		routes: [],
		keys: [],
		withdrawnKeyIds: [],
		zonesOut: [],
		drainedServers: [],
	});
	return {
		view: () => view,
		isReady: () => true,
		changesAfter: () => [],
		learn: () => undefined,
		notePeerVersion: () => undefined,
		onAdvanced: () => ({dispose: () => undefined}),
	};
}

/** Creates telemetry that discards everything. */
export function createTestTelemetry(): Telemetry {
	const ignore = () => undefined;
	return {
		metrics: {increment: ignore, gauge: ignore, timing: ignore},
		logger: {info: ignore, warn: ignore, error: ignore},
		tracer: {
			startSpan: () => ({traceparent: '', setAttribute: ignore, end: ignore}),
		},
	};
}
