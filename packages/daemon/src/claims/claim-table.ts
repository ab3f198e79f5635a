import {
	claimTable,
	type ClaimBatchResult,
	type ClaimRow,
	type ClaimWrite,
	type Refusal,
	type VersionedClaimRow,
} from '@balsamtray/core';
import {z} from 'zod';
import {StoreError} from '../store/store-error.js';
import type {TableStore, WriteConflict} from '../store/types.js';

/** Only checks for a `code`, because this program itself wrote the refusals. */
const refusalSchema = z.custom<Refusal>(
	value => typeof value === 'object' && value !== null && 'code' in value,
);

/** Schema of a recorded outcome in the store. */
export const outcomeSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('answered'),
		status: z.number().int(),
		contentType: z.string(),
		body: z.string(),
	}),
	z.object({kind: z.literal('refused'), refusal: refusalSchema}),
]);

const rowSchema = z.object({
	claimId: z.string(),
	entryId: z.string(),
	bodyDigest: z.string(),
	claimedAt: z.number(),
	state: z.enum(['claimed', 'done', 'unknown', 'released']),
	outcome: outcomeSchema.exactOptional(),
	outcomeObject: z.string().exactOptional(),
});

/** Claim rows of one environment in the table service. */
export class ClaimTable {
	static create(table: TableStore, environment: string): ClaimTable {
		return new ClaimTable(table, `${environment}.${claimTable}`);
	}

	private constructor(
		private readonly _table: TableStore,
		private readonly _name: string,
	) {}

	/** Makes all writes in one transaction, or none. Errors of the store are returned as `unavailable` or `lost`. */
	async write(writes: readonly ClaimWrite[]): Promise<ClaimBatchResult> {
		try {
			const result = await this._table.transact(
				writes.map(({key, row, version}) => ({
					table: this._name,
					key,
					value: row,
					condition:
						version === undefined
							? {kind: 'absent'}
							: {kind: 'version', version},
				})),
			);
			return result.kind === 'committed'
				? result
				: {
						kind: 'conflict',
						conflicts: result.conflicts.map(conflict => toConflict(conflict)),
					};
		} catch (error) {
			const isNotWritten =
				error instanceof StoreError && error.outcome === 'notWritten';
			return {kind: isNotWritten ? 'unavailable' : 'lost'};
		}
	}
}

function toConflict(conflict: WriteConflict): {
	readonly index: number;
	readonly current?: VersionedClaimRow;
} {
	const {index, current} = conflict;
	return current === undefined
		? {index}
		: {
				index,
				current: {row: parseRow(current.value), version: current.version},
			};
}

function parseRow(value: unknown): ClaimRow {
	return rowSchema.parse(value);
}
