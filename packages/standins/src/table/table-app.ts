import type {FastifyInstance} from 'fastify';
import {z} from 'zod';
import {AppServer} from '../common/app-server.js';
import {faultsSchema} from '../common/fault-schemas.js';
import {FaultInjector, readJson} from '../common/fault-injector.js';
import {TableStore} from './table-store.js';

const defaultLimit = 1000;

const transactionSchema = z.object({
	writes: z.array(
		z.object({
			table: z.string(),
			key: z.string(),
			value: z.unknown(),
			condition: z.discriminatedUnion('kind', [
				z.object({kind: z.literal('any')}),
				z.object({kind: z.literal('absent')}),
				z.object({kind: z.literal('version'), version: z.number()}),
			]),
		}),
	),
});

const listSchema = z.object({
	prefix: z.string().default(''),
	after: z.string().default(''),
	limit: z.coerce.number().int().positive().default(defaultLimit),
});

/** Creates the table service. */
export function createTableApp(): AppServer {
	const server = AppServer.create();
	FaultInjector.create(faultsSchema).register(server.app);
	registerTable(server.app, TableStore.create());
	return server;
}

function registerTable(app: FastifyInstance, store: TableStore): void {
	const record = {reads: 0, transactions: 0, writes: 0, conflicts: 0};
	app.get('/record', () => record);
	app.post('/v1/transactions', (req, res) => {
		const {writes} = transactionSchema.parse(readJson(req.body));
		record.transactions++;
		record.writes += writes.length;
		const result = store.transact(
			writes.map(write => ({...write, value: write.value ?? null})),
		);
		if (result.kind === 'conflict') {
			record.conflicts++;
			return res.code(409).send({conflicts: result.conflicts});
		}

		return res.send({versions: result.versions});
	});
	app.get<{Params: {table: string; key: string}}>(
		'/v1/tables/:table/rows/:key',
		(req, res) => {
			record.reads++;
			const row = store.row(req.params.table, req.params.key);
			return row === undefined
				? res.code(404).send({error: 'no such row'})
				: res.send(row);
		},
	);
	app.get<{Params: {table: string}}>('/v1/tables/:table/rows', (req, res) => {
		record.reads++;
		const {prefix, after, limit} = listSchema.parse(req.query);
		return res.send({
			rows: store.rows(req.params.table, prefix, after, limit),
		});
	});
}
