import type {ConfigChange, ConfigSnapshot} from '@balsamtray/core';
import {
	canonicalJson,
	changeRowSchema,
	configSnapshotSchema,
	sha256Hex,
	opsObjectSchema,
	snapshotPointerSchema,
	type ChangeRow,
	type SnapshotPointer,
} from '@balsamtray/protocol';
import type {z} from 'zod';
import {StoreError, type StorePeer} from './store-error.js';
import type {ObjectStore, TableRow, TableStore} from './types.js';

/** Maximum length of operations stored in the row itself, in characters of JSON. Longer ones go to the object store. */
const maxInlineOpsLength = 32 * 1024;
const rowsPerPage = 500;
/** Row keys are zero-padded so that their order is the order of the versions. */
const keyDigits = 12;
const snapshotKey = 'snapshot';
/** Attempts at one conditional insert while its outcome is unknown. */
const maxInsertAttempts = 4;

/** Result of appending a change. */
export type AppendResult =
	| {readonly kind: 'accepted'}
	| {readonly kind: 'conflict'; readonly winner: ChangeMetadata}
	/** The change was not accepted and won't be. */
	| {readonly kind: 'unavailable'; readonly error: StoreError}
	| {readonly kind: 'outcomeUnknown'; readonly error: StoreError};

/** A change without its operations. */
export type ChangeMetadata = Omit<ConfigChange, 'ops'>;

/** Result of reading the configuration after a version. */
export type ConfigReadResult = {
	/** Replaces all changes up to its version. Set only for a reader that starts or is far behind. */
	readonly snapshot?: ConfigSnapshot;
	readonly changes: readonly ConfigChange[];
};

/** Options of `ConfigStore`. */
export type ConfigStoreOptions = {
	readonly environment: string;
	readonly table: TableStore;
	readonly objects: ObjectStore;
};

/**
 * Stores one environment's configuration as a log of changes with consecutive versions, in the platform's table service
 * and object store. A change is accepted when its row has been inserted under a version that was free.
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

	/**
	 * Appends the change if no other change has its version. After a lost response, the insert is retried and the
	 * identifier of the stored change shows whether the earlier attempt took effect.
	 */
	async append(change: ConfigChange): Promise<AppendResult> {
		let row: ChangeRow;
		try {
			row = await this._toRow(change);
		} catch (error) {
			return {kind: 'unavailable', error: toStoreError(error, 'notWritten')};
		}

		return this._insertWithRetries(change, row);
	}

	/**
	 * Reads the configuration after the version. At version 0, or a full page of changes behind, starts from the
	 * snapshot if it is newer.
	 * @throws StoreError if the store can't be read or holds malformed data.
	 */
	async readAfter(version: number): Promise<ConfigReadResult> {
		const first = await this._listPage(version);
		// The snapshot pointer costs one more read. It pays off only at the start or when far behind.
		if (version > 0 && first.length < rowsPerPage) {
			return {changes: await this._toChanges(first)};
		}

		const snapshot = await this._readSnapshot(version);
		if (snapshot !== undefined) {
			return {snapshot, changes: await this.changesAfter(snapshot.version)};
		}

		return {changes: await this._toChanges(await this._listRemaining(first))};
	}

	/**
	 * Reads all changes after the version.
	 * @throws StoreError if the store can't be read or holds malformed data.
	 */
	async changesAfter(version: number): Promise<readonly ConfigChange[]> {
		return this._toChanges(
			await this._listRemaining(await this._listPage(version)),
		);
	}

	/**
	 * Stores a snapshot and points to it, unless the pointer already names this version or a later one.
	 * @throws StoreError if a call of the store fails.
	 */
	async writeSnapshot(snapshot: ConfigSnapshot): Promise<void> {
		const text = canonicalJson(snapshot);
		const digest = sha256Hex(text);
		const object = `${this._options.environment}.snapshot.${snapshot.version}.${digest}`;
		await this._options.objects.put(object, text);
		const row = await this._options.table.read(this._configTable, snapshotKey);
		const current = row && parse(snapshotPointerSchema, row.value);
		if (current && current.version >= snapshot.version) {
			return;
		}

		const pointer: SnapshotPointer = {
			version: snapshot.version,
			object,
			digest,
		};
		// A conflict is ignored: another process has just stored a snapshot.
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

	private async _insertWithRetries(
		change: ConfigChange,
		row: ChangeRow,
	): Promise<AppendResult> {
		let result = await this._tryInsert(change, row);
		for (
			let i = 1;
			i < maxInsertAttempts && result.kind === 'outcomeUnknown';
			i++
		) {
			// The insert is idempotent: the version is the row's key, and the row holds the change's identifier.
			// eslint-disable-next-line no-await-in-loop
			const next = await this._tryInsert(change, row);
			// An earlier attempt may still take effect even if this one didn't.
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
			const storeError = toStoreError(error, 'unknown');
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
			: {kind: 'conflict', winner: metadataOf(current)};
	}

	private async _listPage(version: number): Promise<readonly TableRow[]> {
		return this._options.table.list(this._changesTable, {
			after: keyOf(version),
			limit: rowsPerPage,
		});
	}

	/** Returns the rows of the first page and of all pages after it. The last page is the first one that isn't full. */
	private async _listRemaining(
		first: readonly TableRow[],
	): Promise<readonly TableRow[]> {
		const rows = [...first];
		let page = first;
		while (page.length === rowsPerPage) {
			const last = parse(changeRowSchema, page.at(-1)?.value);
			// Each page starts after the last row of the one before it.
			// eslint-disable-next-line no-await-in-loop
			page = await this._listPage(last.version);
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
		if (text.length <= maxInlineOpsLength) {
			return {...change, ops: [...change.ops]};
		}

		const opsDigest = sha256Hex(text);
		await this._options.objects.put(this._opsObject(opsDigest), text);
		return {...metadataOf(change), opsDigest};
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

		const {opsDigest, ...metadata} = row;
		const text = await this._readObject(this._opsObject(opsDigest), opsDigest);
		return {...metadata, ops: parseText(opsObjectSchema, text)};
	}

	private async _readObject(name: string, digest: string): Promise<string> {
		const text = await this._options.objects.get(name);
		if (text === undefined || sha256Hex(text) !== digest) {
			throw createReadError(
				'object store',
				`object ${name} is missing or damaged`,
			);
		}

		return text;
	}

	private _opsObject(digest: string): string {
		return `${this._options.environment}.ops.${digest}`;
	}
}

function metadataOf(row: ChangeMetadata): ChangeMetadata {
	const {version, changeId, author, writtenAt, summary} = row;
	return {version, changeId, author, writtenAt, summary};
}

function keyOf(version: number): string {
	return String(version).padStart(keyDigits, '0');
}

function parse<T>(schema: z.ZodType<T>, value: unknown): T {
	const result = schema.safeParse(value);
	if (!result.success) {
		throw createReadError(
			'table service',
			'a row can not be read',
			result.error,
		);
	}

	return result.data;
}

function parseText<T>(schema: z.ZodType<T>, text: string): T {
	try {
		return schema.parse(JSON.parse(text));
	} catch (error) {
		throw createReadError('object store', 'an object can not be read', error);
	}
}

function createReadError(
	peer: StorePeer,
	message: string,
	cause?: unknown,
): StoreError {
	return StoreError.create(peer, 'unknown', message, cause);
}

function toStoreError(
	error: unknown,
	outcome: 'notWritten' | 'unknown',
): StoreError {
	return error instanceof StoreError
		? error
		: StoreError.create('table service', outcome, 'the call failed', error);
}
