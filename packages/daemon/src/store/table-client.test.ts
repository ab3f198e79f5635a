import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import {describe, it} from 'node:test';
import {TableClient} from './table-client.js';
import type {TableWrite} from './types.js';

const timeoutMs = 800;
const write: TableWrite = {
	table: 't',
	key: 'a/b',
	value: 1,
	condition: {kind: 'absent'},
};

async function withTable(
	listener: RequestListener,
	use: (client: TableClient) => Promise<void>,
): Promise<void> {
	const server = createServer(listener);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	assert.ok(typeof address === 'object' && address !== null);
	const url = `http://127.0.0.1:${address.port}`;
	const client = TableClient.create({url, timeoutMs});
	try {
		await use(client);
	} finally {
		await client.close();
		server.closeAllConnections();
		server.close();
	}
}

function respond(status: number, body: string): RequestListener {
	return (_req, res) => {
		res.statusCode = status;
		res.end(body);
	};
}

describe('TableClient', () => {
	describe('when a write fails', () => {
		const cases: ReadonlyArray<
			readonly [string, RequestListener, 'notWritten' | 'unknown']
		> = [
			['the service is unavailable', respond(503, ''), 'notWritten'],
			['the service rejects it as malformed', respond(400, ''), 'notWritten'],
			[
				'the service responds with an internal error',
				respond(500, ''),
				'unknown',
			],
			['the response is malformed', respond(200, '{"versions":'), 'unknown'],
			[
				'the connection breaks',
				req => {
					req.socket.destroy();
				},
				'unknown',
			],
			[
				'no response arrives in time',
				req => {
					req.resume();
				},
				'unknown',
			],
		];
		for (const [name, listener, outcome] of cases) {
			it(`reports whether the write may have taken effect when ${name}`, async () => {
				await withTable(listener, async client => {
					await assert.rejects(client.transact([write]), {
						name: 'StoreError',
						step: 'store',
						peer: 'table service',
						outcome,
					});
				});
			});
		}

		it('reports the outcome notWritten when the connection is refused', async () => {
			const url = 'http://127.0.0.1:9';
			const client = TableClient.create({url, timeoutMs});
			await assert.rejects(client.transact([write]), {outcome: 'notWritten'});
			await client.close();
		});
	});

	it('returns the committed versions or the conflicts', async () => {
		await withTable(respond(200, '{"versions":[4]}'), async client => {
			const result = await client.transact([write]);
			assert.deepEqual(result, {kind: 'committed', versions: [4]});
		});
		const conflicts = '{"conflicts":[{"index":0,"current":null}]}';
		await withTable(respond(409, conflicts), async client => {
			const result = await client.transact([write]);
			assert.deepEqual(result, {
				kind: 'conflict',
				conflicts: [{index: 0, current: undefined}],
			});
		});
	});

	it('percent-encodes keys in the URL', async () => {
		const urls: string[] = [];
		const listener: RequestListener = (req, res) => {
			urls.push(req.url ?? '');
			res.statusCode = 404;
			res.end('{}');
		};

		await withTable(listener, async client => {
			assert.equal(await client.read('t', 'a/b?c'), undefined);
		});
		assert.deepEqual(urls, ['/v1/tables/t/rows/a%2Fb%3Fc']);
	});
});
