import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {afterEach, describe, it} from 'node:test';
import {HttpClient} from './http-client.js';

const timeoutMs = 3000;
const maxBodyBytes = 1024 * 1024;

/** Growth of the process's memory beyond which a body was collected, in bytes. */
const maxGrowthBytes = 128 * 1024 * 1024;

let server: Server;
let client: HttpClient;

async function listen(respond: (res: ServerResponse) => void) {
	server = createServer((_req, res) => {
		respond(res);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	client = HttpClient.create(1);
}

async function call() {
	const address = server.address();
	assert.ok(address !== null && typeof address === 'object');
	return client.call({
		endpoint: {host: '127.0.0.1', port: address.port},
		method: 'GET',
		path: '/',
		timeoutMs,
		maxBodyBytes,
	});
}

describe('HttpClient', () => {
	afterEach(() => {
		client.dispose();
		server.close();
		server.closeAllConnections();
	});

	it('returns a body of the maximum size', async () => {
		await listen(res => {
			res.end('x'.repeat(maxBodyBytes));
		});
		const {body} = await call();
		assert.equal(body.length, maxBodyBytes);
	});

	// Guards against a store, a peer or an engine whose response fills the memory until the call's timeout.
	it('rejects a body without end at once and closes its connection', async () => {
		const piece = 'x'.repeat(64 * 1024);
		let closed: Promise<unknown> | undefined;
		await listen(res => {
			closed = once(res, 'close');
			const fill = () => {
				if (!res.destroyed) {
					res.write(piece, () => {
						setImmediate(fill);
					});
				}
			};

			fill();
		});
		const initialBytes = process.memoryUsage.rss();
		const startedAt = performance.now();
		await assert.rejects(call(), /body/v);
		assert.ok(performance.now() - startedAt < timeoutMs);
		assert.ok(process.memoryUsage.rss() - initialBytes < maxGrowthBytes);
		await closed;
	});
});
