import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {discardTimeoutMs} from './constants.js';
import {Upstream, type UpstreamCall} from './upstream.js';

/** Time within which the connection to a server must be closed, in milliseconds. */
const maxCloseMs = 3000;

/** Longest stop of the event loop, in milliseconds. A stop of 700 ms makes other entries take this one for lost. */
const maxStopMs = 250;

/** Maximum processor time of sixteen broken responses, in milliseconds, with that of their server. */
const maxProcessorMs = 1200;

/** Growth of the process's memory during a flood, in bytes. */
const maxGrowthBytes = 64 * 1024 * 1024;

/** Bytes that are written at once. */
const pieceBytes = 64 * 1024;

/** A server that answers with bytes without end, as fast as its client reads them, until its connection is closed. */
class FloodServer {
	/** @param opening written once, before `piece` is repeated */
	static async listen(opening: string, piece: string): Promise<FloodServer> {
		const flood = new FloodServer(opening, piece);
		flood._server.listen(0, '127.0.0.1');
		await once(flood._server, 'listening');
		return flood;
	}

	/** Bytes that were handed to the system. */
	written = 0;
	private readonly _piece: Uint8Array;
	private readonly _sockets = new Set<Socket>();
	private readonly _flooded = new Set<Socket>();
	private readonly _server: Server;

	private constructor(
		private readonly _opening: string,
		piece: string,
	) {
		this._server = createServer(socket => {
			this._accept(socket);
		});
		this._piece = Buffer.from(
			piece === '' ? '' : piece.repeat(Math.ceil(pieceBytes / piece.length)),
		);
	}

	get address(): string {
		const address = this._server.address();
		assert.ok(address !== null && typeof address === 'object');
		return `127.0.0.1:${address.port}`;
	}

	/** Number of connections that still get the bytes. undici may open a further one after it has closed one. */
	get connections(): number {
		return this._flooded.size;
	}

	dispose(): void {
		this._server.close();
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	private _accept(socket: Socket): void {
		this._sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this._sockets.delete(socket);
			this._flooded.delete(socket);
		});
		socket.once('data', () => {
			this._flooded.add(socket);
			socket.write(this._opening);
			const fill = () => {
				if (this._piece.length === 0) {
					return;
				}

				while (!socket.destroyed && socket.write(this._piece)) {
					this.written += this._piece.length;
				}
			};

			socket.on('drain', fill);
			fill();
		});
	}
}

/** Measures the longest stop of the event loop and the growth of the process's memory. */
class Watch {
	static start(): Watch {
		return new Watch();
	}

	longestStopMs = 0;
	private _growthBytes = 0;
	private _lastAt = performance.now();
	private readonly _initialBytes = process.memoryUsage.rss();
	private readonly _timer = setInterval(() => {
		const now = performance.now();
		this.longestStopMs = Math.max(this.longestStopMs, now - this._lastAt);
		this._lastAt = now;
		this._growthBytes = Math.max(
			this._growthBytes,
			process.memoryUsage.rss() - this._initialBytes,
		);
	}, 5);

	private constructor() {}

	/** Stops and checks both bounds. */
	check(): void {
		clearInterval(this._timer);
		const stopMs = Math.round(this.longestStopMs);
		assert.ok(stopMs < maxStopMs, `the event loop stood still ${stopMs} ms`);
		assert.ok(
			this._growthBytes < maxGrowthBytes,
			`the process grew by ${this._growthBytes} bytes`,
		);
	}
}

let server: FloodServer;
let watch: Watch;
let events: string[];
let ended: Promise<void>;

/** Sends a request and records its events in `events`. */
function send(upstream: Upstream): UpstreamCall {
	const list = events;
	let end: () => void;
	ended = new Promise(resolve => {
		end = resolve;
	});
	return upstream.send(
		{
			server: 's',
			address: server.address,
			maxConnections: 8,
			method: 'GET',
			path: '/',
			headers: [],
			body: new Uint8Array(0),
		},
		{
			onSending: () => true,
			onHeaders(status) {
				list.push(`${status}`);
			},
			onData: () => true,
			onEnd() {
				list.push('end');
				end();
			},
			onError(err) {
				list.push(`error: ${err.message}`);
				end();
			},
		},
	);
}

async function waitFor(isMet: () => boolean, what: string): Promise<void> {
	const deadline = performance.now() + maxCloseMs;
	while (!isMet()) {
		assert.ok(performance.now() < deadline, what);
		// Polls one after another.
		// eslint-disable-next-line no-await-in-loop
		await delay(10);
	}
}

/** Checks that requests to a server that sends such bytes fail, and that the server is left. */
async function assertRequestFails(flood: readonly [string, string], count = 1) {
	server = await FloodServer.listen(...flood);
	const upstream = Upstream.create();
	const requests = Array.from({length: count}, async () => {
		send(upstream);
		return ended;
	});
	await Promise.race([Promise.all(requests), delay(maxCloseMs)]);
	assert.match(events.at(-1) ?? 'none', /^error: /v);
	assert.ok(!events.includes('end'));
	await waitFor(() => server.connections === 0, 'still connected');
}

/** Checks that a request to a server that sends such bytes gets its response, and that the server is left. */
async function assertRequestIsAnswered(flood: readonly [string, string]) {
	server = await FloodServer.listen(...flood);
	let endless = 0;
	const upstream = Upstream.create(() => {
		endless++;
	});
	send(upstream);
	await ended;
	assert.deepEqual(events, ['200', 'end']);
	await waitFor(() => server.connections === 0, 'still connected');
	return endless;
}

describe('bytes without end', {concurrency: false}, () => {
	beforeEach(() => {
		events = [];
		watch = Watch.start();
	});

	afterEach(() => {
		server.dispose();
		watch.check();
	});

	const ok = 'HTTP/1.1 200 OK\r\n';
	const chunked = `${ok}Transfer-Encoding: chunked\r\n\r\n`;
	const floods: Readonly<Record<string, readonly [string, string]>> = {
		'a status line': ['HTTP/1.1 200 ', 'O'],
		'one header': [`${ok}X-Long: `, 'x'],
		'one header of spaces': [`${ok}X-Long: `, ' '],
		headers: [ok, 'X-More: x\r\n'],
		'empty lines before a response': ['', '\r\n'],
		'bytes that are no HTTP': ['', 'garbage '],
		'lines that are no HTTP': ['', 'garbage\r\n'],
		'informational responses': [
			'',
			'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
		],
		'a chunk extension': [`${chunked}5;`, 'x'],
		'a chunk size': [chunked, '0'],
		'a trailer': [`${chunked}2\r\nhi\r\n0\r\nX-Long: `, 'x'],
		trailers: [`${chunked}2\r\nhi\r\n0\r\n`, 'X-More: x\r\n'],
	};

	describe('that never become a response', () => {
		for (const [name, flood] of Object.entries(floods)) {
			// Guards against servers that kept a request until its deadline, and an entry busy with what they sent.
			it(`in ${name} end the request, and its connection is closed`, async () => {
				await assertRequestFails(flood);
			});
		}
	});

	// Guards against an HTTP client that goes on with what it was given after an error, which takes 0.2 s a response.
	it('in headers and trailers of sixteen responses cost little processor time', async () => {
		const before = process.cpuUsage();
		for (const name of ['headers', 'trailers']) {
			// eslint-disable-next-line no-await-in-loop
			await assertRequestFails(floods[name]!, 8);
			server.dispose();
		}

		const {user, system} = process.cpuUsage(before);
		const tookMs = Math.round((user + system) / 1000);
		assert.ok(tookMs < maxProcessorMs, `took ${tookMs} ms`);
	});

	describe('in a response that is discarded', () => {
		const refused = 'HTTP/1.1 503 Busy\r\n\r\n';
		const assertIsLeft = async (flood: readonly [string, string]) => {
			server = await FloodServer.listen(...flood);
			const call = send(Upstream.create());
			await waitFor(() => events.length > 0, 'no head');
			call.discard();
			await waitFor(() => server.connections === 0, 'still connected');
		};

		// Guards against the body of a refusal being read for as long as its server sends it.
		it('close its connection', async () => {
			const startedAt = performance.now();
			await assertIsLeft([refused, 'x']);
			assert.ok(performance.now() - startedAt < discardTimeoutMs);
		});

		// Guards against a refusal without an end that holds one of the connections to its server.
		it('and that stops inside its body, its connection is closed after a time', async () => {
			await assertIsLeft([refused, '']);
		});
	});

	describe('after a complete response', () => {
		const complete = `${ok}Content-Length: 2\r\n\r\nhi`;
		for (const [name, piece] of Object.entries({
			'bytes that are no HTTP': 'garbage ',
			'empty lines': '\r\n',
			'further responses': `${ok}Content-Length: 2\r\n\r\nno`,
		})) {
			// Guards against connections that were read, with no request, until their server stopped.
			it(`${name} belong to no request, and their connection is closed`, async () => {
				const endless = await assertRequestIsAnswered([complete, piece]);
				assert.equal(endless, name === 'empty lines' ? 1 : 0);
			});
		}
	});
});
