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

const version = z.number().int().nonnegative();
const row = z.object({key: z.string(), value: z.unknown(), version});
const rows = z.object({rows: z.array(row)});
const committed = z.object({versions: z.array(version)});
const conflicted = z.object({
	conflicts: z.array(
		z.object({
			index: z.number().int().nonnegative(),
			current: z
				.object({value: z.unknown(), version})
				.nullable()
				.transform(found => found ?? undefined),
		}),
	),
});

/** What a client of the platform's table service is created from. */
export type TableClientOptions = {
	readonly url: string;
	readonly timeoutMs: number;
};

/** Client of the platform's transactional table service. */
export class TableClient implements TableStore {
	static create(options: TableClientOptions): TableClient {
		return new TableClient(
			StoreHttp.create({peer: 'table service', ...options}),
		);
	}

	private constructor(private readonly _http: StoreHttp) {}

	/** Makes all writes or none. */
	async transact(writes: readonly TableWrite[]): Promise<TransactionResult> {
		const {status, text} = await this._http.call({
			method: 'POST',
			path: '/v1/transactions',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({writes}),
			statuses: [okStatus, conflictStatus],
		});
		return status === okStatus
			? {kind: 'committed', ...parse(committed, text, 'unknown')}
			: {kind: 'conflict', ...parse(conflicted, text, 'notWritten')};
	}

	async read(table: string, key: string): Promise<TableRow | undefined> {
		const {status, text} = await this._http.call({
			method: 'GET',
			path: `${tablePath(table)}/${encodeURIComponent(key)}`,
			statuses: [okStatus, notFoundStatus],
		});
		return status === okStatus ? parse(row, text, 'notWritten') : undefined;
	}

	/** Lists rows in the order of their keys. */
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
		return parse(rows, text, 'notWritten').rows;
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
