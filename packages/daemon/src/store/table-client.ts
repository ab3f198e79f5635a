import {z} from 'zod';
import {StoreError} from './store-error.js';
import {StoreHttp} from './store-http.js';
import type {
	RowRange,
	TableRow,
	TableStore,
	TableWrite,
	TransactionResult,
} from './types.js';

const okStatus = 200;
const notFoundStatus = 404;
const conflictStatus = 409;

const versionSchema = z.number().int().nonnegative();
const rowSchema = z.object({
	key: z.string(),
	value: z.unknown(),
	version: versionSchema,
});
const rowsSchema = z.object({rows: z.array(rowSchema)});
const committedSchema = z.object({versions: z.array(versionSchema)});
const conflictSchema = z.object({
	conflicts: z.array(
		z.object({
			index: z.number().int().nonnegative(),
			current: z
				.object({value: z.unknown(), version: versionSchema})
				.nullable()
				.transform(found => found ?? undefined),
		}),
	),
});

/** Options of `TableClient`. */
export type TableClientOptions = {
	readonly url: string;
	readonly timeoutMs: number;
};

/** Client of the platform's transactional table service. Failed calls are thrown as `StoreError`. */
export class TableClient implements TableStore {
	static create(options: TableClientOptions): TableClient {
		return new TableClient(
			StoreHttp.create({peer: 'table service', ...options}),
		);
	}

	private constructor(private readonly _http: StoreHttp) {}

	/** Applies all writes atomically, or none if a condition does not hold. */
	async transact(writes: readonly TableWrite[]): Promise<TransactionResult> {
		const {status, text} = await this._http.call({
			method: 'POST',
			path: '/v1/transactions',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({writes}),
			statuses: [okStatus, conflictStatus],
		});
		return status === okStatus
			? {kind: 'committed', ...parse(committedSchema, text, 'unknown')}
			: {kind: 'conflict', ...parse(conflictSchema, text, 'notWritten')};
	}

	async read(table: string, key: string): Promise<TableRow | undefined> {
		const {status, text} = await this._http.call({
			method: 'GET',
			path: `${tablePath(table)}/${encodeURIComponent(key)}`,
			statuses: [okStatus, notFoundStatus],
		});
		return status === okStatus
			? parse(rowSchema, text, 'notWritten')
			: undefined;
	}

	/** Lists rows in key order. */
	async list(table: string, range: RowRange): Promise<readonly TableRow[]> {
		const query = new URLSearchParams({limit: String(range.limit)});
		if (range.prefix !== undefined) {
			query.set('prefix', range.prefix);
		}

		if (range.after !== undefined) {
			query.set('after', range.after);
		}

		const {text} = await this._http.call({
			method: 'GET',
			path: `${tablePath(table)}?${query.toString()}`,
			statuses: [okStatus],
		});
		return parse(rowsSchema, text, 'notWritten').rows;
	}

	async close(): Promise<void> {
		await this._http.close();
	}
}

function tablePath(table: string): string {
	return `/v1/tables/${encodeURIComponent(table)}/rows`;
}

function parse<T>(
	schema: z.ZodType<T>,
	text: string,
	outcome: 'notWritten' | 'unknown',
): T {
	try {
		return schema.parse(JSON.parse(text));
	} catch (error) {
		throw StoreError.create(
			'table service',
			outcome,
			'table service gave an answer that can not be read',
			error,
		);
	}
}
