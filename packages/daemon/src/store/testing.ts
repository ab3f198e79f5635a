import {StoreError} from './store-error.js';
import type {
	ObjectStore,
	RowRange,
	TableRow,
	TableStore,
	TableWrite,
	TransactionResult,
} from './types.js';

/**
 * Fault of one call of an in-memory store: the service is down, the response is lost after the write took effect, or
 * the request is lost and the write does not take effect. A read fails with any fault.
 */
export type StoreFault = 'none' | 'down' | 'responseLost' | 'requestLost';

/** Chooses the fault of each call. */
export type FaultChooser = (call: 'read' | 'write') => StoreFault;

/** In-memory table service for tests. */
export class MemoryTable implements TableStore {
	static create(chooseFault: FaultChooser = () => 'none'): MemoryTable {
		return new MemoryTable(chooseFault);
	}

	private readonly _rows = new Map<string, TableRow>();

	private constructor(public chooseFault: FaultChooser) {}

	async transact(writes: readonly TableWrite[]): Promise<TransactionResult> {
		const fault = this._injectFault('write');
		if (fault === 'requestLost') {
			throw StoreError.create('table service', 'unknown', 'request lost');
		}

		const result = this._transact(writes);
		if (fault === 'responseLost') {
			throw StoreError.create('table service', 'unknown', 'response lost');
		}

		return result;
	}

	async read(table: string, key: string): Promise<TableRow | undefined> {
		this._injectFault('read');
		return this._rows.get(`${table}/${key}`);
	}

	async list(table: string, range: RowRange): Promise<readonly TableRow[]> {
		this._injectFault('read');
		const {after = '', prefix = '', limit} = range;
		return [...this._rows]
			.filter(([name]) => name.startsWith(`${table}/`))
			.map(([, row]) => row)
			.filter(({key}) => key > after && key.startsWith(prefix))
			.toSorted((a, b) => (a.key < b.key ? -1 : 1))
			.slice(0, limit);
	}

	/** Throws if the service is down or the call is a read with a fault. Otherwise returns the fault. */
	private _injectFault(call: 'read' | 'write'): StoreFault {
		const fault = this.chooseFault(call);
		if (fault === 'down' || (call === 'read' && fault !== 'none')) {
			throw StoreError.create('table service', 'notWritten', 'down');
		}

		return fault;
	}

	private _transact(writes: readonly TableWrite[]): TransactionResult {
		const conflicts = writes.flatMap((write, index) => {
			const current = this._rows.get(`${write.table}/${write.key}`);
			return isConditionMet(write, current) ? [] : [{index, current}];
		});
		if (conflicts.length > 0) {
			return {kind: 'conflict', conflicts};
		}

		const versions = writes.map(({table, key, value}) => {
			const version = (this._rows.get(`${table}/${key}`)?.version ?? 0) + 1;
			const copy = structuredClone(value);
			this._rows.set(`${table}/${key}`, {key, value: copy, version});
			return version;
		});
		return {kind: 'committed', versions};
	}
}

/** In-memory object store for tests. */
export class MemoryObjects implements ObjectStore {
	static create(): MemoryObjects {
		return new MemoryObjects();
	}

	readonly bodies = new Map<string, string>();

	private constructor() {
		// Use `create`.
	}

	async put(name: string, body: string): Promise<void> {
		if (!this.bodies.has(name)) {
			this.bodies.set(name, body);
		}
	}

	async get(name: string): Promise<string | undefined> {
		return this.bodies.get(name);
	}
}

function isConditionMet(
	write: TableWrite,
	current: TableRow | undefined,
): boolean {
	const {condition} = write;
	switch (condition.kind) {
		case 'any': {
			return true;
		}

		case 'absent': {
			return current === undefined;
		}

		case 'version': {
			return current?.version === condition.version;
		}
	}
}
