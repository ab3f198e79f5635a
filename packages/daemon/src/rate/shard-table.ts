import {
	shardLayoutKey,
	shardLayoutTable,
	shardTable,
	type RateShard,
	type ShardRow,
	type ShardWriteResult,
	type VersionedShardRow,
} from '@balsamtray/core';
import {z} from 'zod';
import {StoreError} from '../store/store-error.js';
import type {TableStore} from '../store/types.js';

const rowsPerPage = 1000;

const holderSchema = z.object({
	id: z.string(),
	zone: z.string(),
	region: z.string(),
});

/** Schema of a shard's row. */
export const shardRowSchema = z.object({
	state: z.enum(['held', 'released']),
	holder: holderSchema,
	incarnation: z.string(),
	peerAddress: z.string(),
	epoch: z.number(),
	writeId: z.string(),
	levels: z.record(z.string(), z.number()).exactOptional(),
});

const shardsSchema = z
	.array(z.object({id: z.string(), region: z.string()}))
	.min(1);

const layoutSchema = z.object({shards: shardsSchema});

/** Schema of another entry's shard map. */
export const shardMapSchema = z.object({
	shards: shardsSchema,
	rows: z.array(
		z.object({shard: z.string(), row: shardRowSchema, version: z.number()}),
	),
});

/** A conditional write of one shard's row. */
export type ShardWrite = {
	readonly shard: string;
	readonly row: ShardRow;
	/** Expected version of the current row. If absent, the write succeeds only if no row exists. */
	readonly version?: number;
};

/** Reads and writes the rows of one environment's shards in the table service. */
export class ShardTable {
	static create(table: TableStore, environment: string): ShardTable {
		return new ShardTable(table, environment);
	}

	private constructor(
		private readonly _table: TableStore,
		private readonly _environment: string,
	) {}

	/** Returns the list of shards. The first entry of an environment writes its proposal, all others use the stored list. */
	async readOrCreateLayout(
		proposal: readonly RateShard[],
	): Promise<readonly RateShard[]> {
		const existing = await this._readLayout();
		if (existing !== undefined) {
			return existing;
		}

		const written = await this._table.transact([
			{
				table: this._qualifiedName(shardLayoutTable),
				key: shardLayoutKey,
				value: {shards: proposal},
				condition: {kind: 'absent'},
			},
		]);
		return written.kind === 'committed'
			? proposal
			: ((await this._readLayout()) ?? []);
	}

	async readRows(): Promise<ReadonlyMap<string, VersionedShardRow>> {
		const rows = new Map<string, VersionedShardRow>();
		let after: string | undefined;
		for (;;) {
			// Each page starts after the last key of the previous page.
			// eslint-disable-next-line no-await-in-loop
			const page = await this._table.list(this._qualifiedName(shardTable), {
				limit: rowsPerPage,
				...(after === undefined ? {} : {after}),
			});
			for (const {key, value, version} of page) {
				rows.set(key, {row: shardRowSchema.parse(value), version});
				after = key;
			}

			if (page.length < rowsPerPage) {
				return rows;
			}
		}
	}

	/** Writes a row if its condition holds. Never throws: `lost` means that the outcome is unknown. */
	async write(write: ShardWrite): Promise<ShardWriteResult> {
		const {shard, row, version} = write;
		try {
			const result = await this._table.transact([
				{
					table: this._qualifiedName(shardTable),
					key: shard,
					value: row,
					condition:
						version === undefined
							? {kind: 'absent'}
							: {kind: 'version', version},
				},
			]);
			if (result.kind === 'committed') {
				const [committed] = result.versions;
				return committed === undefined
					? {kind: 'lost'}
					: {kind: 'committed', version: committed};
			}

			const current = result.conflicts[0]?.current;
			return current === undefined
				? {kind: 'conflict'}
				: {kind: 'conflict', current: toVersionedRow(current)};
		} catch (error) {
			const isNotWritten =
				error instanceof StoreError && error.outcome === 'notWritten';
			return {kind: isNotWritten ? 'unavailable' : 'lost'};
		}
	}

	private async _readLayout(): Promise<readonly RateShard[] | undefined> {
		const row = await this._table.read(
			this._qualifiedName(shardLayoutTable),
			shardLayoutKey,
		);
		return row === undefined ? undefined : layoutSchema.parse(row.value).shards;
	}

	private _qualifiedName(table: string): string {
		return `${this._environment}.${table}`;
	}
}

function toVersionedRow(current: {
	readonly value: unknown;
	readonly version: number;
}): VersionedShardRow {
	return {row: shardRowSchema.parse(current.value), version: current.version};
}
