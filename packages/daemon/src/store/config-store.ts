import type {ConfigChange, ConfigSnapshot} from '@balsamtray/core';
import {
	canonicalJson,
	changeRowSchema,
	configSnapshotSchema,
	digestText,
	opsObjectSchema,
	snapshotPointerSchema,
	type ChangeRow,
	type SnapshotPointer,
} from '@balsamtray/protocol';
import type {z} from 'zod';
import {StoreError, type StorePeer} from './store-error.js';
import type {ObjectStore, TableRow, TableStore} from './types.js';

/** Longest operations that stand in the row itself, in characters of JSON. */
const longestRowOps = 32 * 1024;
const rowsPerPage = 500;
const keyDigits = 12;
const snapshotKey = 'snapshot';
/** Tries of one conditional insert until its outcome is known. */
const insertTries = 4;

/** What became of a change that was offered to the store. */
export type AppendResult =
	| {readonly kind: 'accepted'}
	| {readonly kind: 'conflict'; readonly winner: ChangeHead}
	/** Surely not accepted. */
	| {readonly kind: 'unavailable'; readonly error: StoreError}
	| {readonly kind: 'outcomeUnknown'; readonly error: StoreError};

/** A change without its operations. */
export type ChangeHead = Omit<ConfigChange, 'ops'>;

/** What the store has after a version. */
export type ConfigRead = {
	/** Given where it is shorter than the changes that it replaces. */
	readonly snapshot?: ConfigSnapshot;
	readonly changes: readonly ConfigChange[];
};

/** What a configuration store is created from. */
export type ConfigStoreOptions = {
	readonly environment: string;
	readonly table: TableStore;
	readonly objects: ObjectStore;
};

/**
 * The numbered changes of one environment's configuration in the platform's services.
 * A change is accepted when its row was inserted under a number that was free.
 */
export class ConfigStore {
	static create(options: ConfigStoreOptions): ConfigStore {
		return new ConfigStore(options);
	}

	private readonly _changesTable: string;
	private readonly _configTable: string;

	private constructor(private readonly _options: ConfigStoreOptions) {
		this._changesTable = `${_options.environment}.config-changes`;
		this._configTable = `${_options.environment}.config`;
	}

	/** Accepts the change if no other has its number. A lost answer is settled by its identifier. */
	async append(change: ConfigChange): Promise<AppendResult> {
		let row: ChangeRow;
		try {
			row = await this._toRow(change);
		} catch (error) {
			return {kind: 'unavailable', error: asStoreError(error, 'notWritten')};
		}

		return this._insert(change, row);
	}

	/** Reads what came after the version. */
	async readAfter(version: number): Promise<ConfigRead> {
		const first = await this._page(version);
		// A pointer is worth its read at the start and when far behind.
		if (version > 0 && first.length < rowsPerPage) {
			return {changes: await this._toChanges(first)};
		}

		const snapshot = await this._readSnapshot(version);
		if (snapshot !== undefined) {
			return {snapshot, changes: await this.changesAfter(snapshot.version)};
		}

		return {changes: await this._toChanges(await this._rest(first))};
	}

	/** Reads all changes after the version. */
	async changesAfter(version: number): Promise<readonly ConfigChange[]> {
		return this._toChanges(await this._rest(await this._page(version)));
	}

	/** Stores a snapshot and points to it, unless a later one is there. */
	async writeSnapshot(snapshot: ConfigSnapshot): Promise<void> {
		const text = canonicalJson(snapshot);
		const digest = digestText(text);
		const object = `${this._options.environment}.snapshot.${snapshot.version}.${digest}`;
		await this._options.objects.put(object, text);
		const row = await this._options.table.read(this._configTable, snapshotKey);
		const present = row && parse(snapshotPointerSchema, row.value);
		if (present && present.version >= snapshot.version) {
			return;
		}

		const pointer: SnapshotPointer = {
			version: snapshot.version,
			object,
			digest,
		};
		// A lost race is no loss: another process has just stored a snapshot.
		await this._options.table.transact([
			{
				table: this._configTable,
				key: snapshotKey,
				value: pointer,
				condition: row
					? {kind: 'version', version: row.version}
					: {kind: 'absent'},
			},
		]);
	}

	private async _insert(
		change: ConfigChange,
		row: ChangeRow,
	): Promise<AppendResult> {
		let result = await this._tryInsert(change, row);
		for (let i = 1; i < insertTries && result.kind === 'outcomeUnknown'; i++) {
			// The insert is idempotent: the row has one number and one identifier.
			// eslint-disable-next-line no-await-in-loop
			const next = await this._tryInsert(change, row);
			// An earlier try may still take effect where this one surely did not.
			result = next.kind === 'unavailable' ? result : next;
		}

		return result;
	}

	private async _tryInsert(
		change: ConfigChange,
		row: ChangeRow,
	): Promise<AppendResult> {
		try {
			return await this._insertOnce(change, row);
		} catch (error) {
			const storeError = asStoreError(error, 'unknown');
			return storeError.outcome === 'unknown'
				? {kind: 'outcomeUnknown', error: storeError}
				: {kind: 'unavailable', error: storeError};
		}
	}

	private async _insertOnce(
		change: ConfigChange,
		row: ChangeRow,
	): Promise<AppendResult> {
		const result = await this._options.table.transact([
			{
				table: this._changesTable,
				key: keyOf(change.version),
				value: row,
				condition: {kind: 'absent'},
			},
		]);
		if (result.kind === 'committed') {
			return {kind: 'accepted'};
		}

		const current = parse(changeRowSchema, result.conflicts[0]?.current?.value);
		return current.changeId === change.changeId
			? {kind: 'accepted'}
			: {kind: 'conflict', winner: headOf(current)};
	}

	private async _page(version: number): Promise<readonly TableRow[]> {
		return this._options.table.list(this._changesTable, {
			after: keyOf(version),
			limit: rowsPerPage,
		});
	}

	/** Reads on after a first page until a page is not full. */
	private async _rest(
		first: readonly TableRow[],
	): Promise<readonly TableRow[]> {
		const rows = [...first];
		let page = first;
		while (page.length === rowsPerPage) {
			const last = parse(changeRowSchema, page.at(-1)?.value);
			// Each page begins where the one before it ends.
			// eslint-disable-next-line no-await-in-loop
			page = await this._page(last.version);
			rows.push(...page);
		}

		return rows;
	}

	private async _readSnapshot(
		afterVersion: number,
	): Promise<ConfigSnapshot | undefined> {
		const row = await this._options.table.read(this._configTable, snapshotKey);
		const pointer = row && parse(snapshotPointerSchema, row.value);
		if (!pointer || pointer.version <= afterVersion) {
			return undefined;
		}

		const text = await this._readObject(pointer.object, pointer.digest);
		return parseText(configSnapshotSchema, text);
	}

	private async _toRow(change: ConfigChange): Promise<ChangeRow> {
		const text = canonicalJson(change.ops);
		if (text.length <= longestRowOps) {
			return {...change, ops: [...change.ops]};
		}

		const opsDigest = digestText(text);
		await this._options.objects.put(this._opsObject(opsDigest), text);
		return {...headOf(change), opsDigest};
	}

	private async _toChanges(
		rows: readonly TableRow[],
	): Promise<readonly ConfigChange[]> {
		return Promise.all(
			rows.map(async row => this._toChange(parse(changeRowSchema, row.value))),
		);
	}

	private async _toChange(row: ChangeRow): Promise<ConfigChange> {
		if (!('opsDigest' in row)) {
			return row;
		}

		const {opsDigest, ...head} = row;
		const text = await this._readObject(this._opsObject(opsDigest), opsDigest);
		return {...head, ops: parseText(opsObjectSchema, text)};
	}

	private async _readObject(name: string, digest: string): Promise<string> {
		const text = await this._options.objects.get(name);
		if (text === undefined || digestText(text) !== digest) {
			throw unreadable('object store', `object ${name} is missing or damaged`);
		}

		return text;
	}

	private _opsObject(digest: string): string {
		return `${this._options.environment}.ops.${digest}`;
	}
}

function headOf(row: ChangeHead): ChangeHead {
	const {version, changeId, author, writtenAt, summary} = row;
	return {version, changeId, author, writtenAt, summary};
}

function keyOf(version: number): string {
	return String(version).padStart(keyDigits, '0');
}

function parse<T>(schema: z.ZodType<T>, value: unknown): T {
	const result = schema.safeParse(value);
	if (!result.success) {
		throw unreadable('table service', 'a row can not be read', result.error);
	}

	return result.data;
}

function parseText<T>(schema: z.ZodType<T>, text: string): T {
	try {
		return schema.parse(JSON.parse(text));
	} catch (error) {
		throw unreadable('object store', 'an object can not be read', error);
	}
}

function unreadable(
	peer: StorePeer,
	message: string,
	cause?: unknown,
): StoreError {
	return StoreError.create(peer, 'unknown', message, cause);
}

function asStoreError(
	error: unknown,
	outcome: 'notWritten' | 'unknown',
): StoreError {
	return error instanceof StoreError
		? error
		: StoreError.create('table service', outcome, 'the call failed', error);
}
