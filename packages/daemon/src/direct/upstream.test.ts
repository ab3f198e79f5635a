import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Upstream, type UpstreamCall} from './upstream.js';

let server: Server | undefined;

/** Starts a server that calls `respond` with the first data of each connection. Returns its address. */
async function listen(
	respond: (socket: Socket, request: string) => void,
): Promise<string> {
	server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', data => {
			respond(socket, data.toString());
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	assert.ok(address !== null && typeof address === 'object');
	const {port} = address;
	return `127.0.0.1:${port}`;
}

/** Resets a connection after a delay, so that the client has read the written data. */
function resetLater(socket: Socket): void {
	setTimeout(() => {
		socket.resetAndDestroy();
	}, 20);
}

/** Writes the last data after a delay, so that the client reads it apart from the data before, and closes. */
function endLater(socket: Socket, data: string): void {
	setTimeout(() => {
		socket.end(data);
	}, 10);
}

type Outcome = {
	readonly events: readonly string[];
	readonly call: UpstreamCall;
};

/** Sends a request and resolves with its events. */
async function send(
	address: string,
	onChunk?: (call: UpstreamCall) => void,
	pauseMs = 0,
	{path = '/', upstream = Upstream.create()} = {},
): Promise<Outcome> {
	const events: string[] = [];
	return new Promise(resolve => {
		const end = (event: string) => {
			events.push(event);
			resolve({events, call});
		};

		const call = upstream.send(
			{
				server: 's',
				address,
				maxConnections: 1,
				method: 'GET',
				path,
				headers: [],
				body: new Uint8Array(0),
			},
			{
				onSending() {
					events.push('sent');
					return true;
				},
				onHeaders(status) {
					events.push(`${status}`);
				},
				onData(chunk) {
					events.push(chunk.toString());
					onChunk?.(call);
					if (pauseMs > 0) {
						setTimeout(call.resume, pauseMs);
					}

					return pauseMs === 0;
				},
				onEnd() {
					end('end');
				},
				onError() {
					end('error');
				},
			},
		);
	});
}

const head = 'HTTP/1.1 200 OK\r\n';

describe('a request that can not be sent', () => {
	// Guards against an address that no URL can hold ending the process (FAULT).
	it('fails without an exception', () => {
		const errors: Error[] = [];
		const call = Upstream.create().send(
			{
				server: 's',
				address: '127.0.0.1:70000',
				maxConnections: 1,
				method: 'GET',
				path: '/',
				headers: [],
				body: new Uint8Array(0),
			},
			{
				onSending: () => true,
				onHeaders() {
					assert.fail('headers');
				},
				onData: () => true,
				onEnd() {
					assert.fail('end');
				},
				onError(err) {
					errors.push(err);
				},
			},
		);
		call.abort();
		assert.deepEqual(
			errors.map(({message}) => message),
			['Invalid URL'],
		);
	});
});

describe('Upstream', () => {
	afterEach(() => {
		server?.close();
	});

	describe('a response without a content length', () => {
		it('is complete when its connection ends', async () => {
			const address = await listen(socket => {
				socket.end(`${head}\r\nhello`);
			});
			const {events} = await send(address);
			assert.deepEqual(events, ['sent', '200', 'hello', 'end']);
		});

		it('fails when its connection is reset', async () => {
			const address = await listen(socket => {
				socket.write(`${head}\r\nhello`);
				resetLater(socket);
			});
			const {events} = await send(address);
			assert.equal(events.at(-1), 'error');
		});
	});

	// Guards against a response that its server broke off within the head and that looks whole (MIXED, ORDER).
	describe('a response that breaks off within its head', () => {
		const fields = 'Content-Type: text/event-stream\r\nETag: "a"\r\n';
		const heads = {
			'with a length': `${head}${fields}Content-Length: 12\r\n\r\n`,
			'with a length of zero': `${head}${fields}Content-Length: 0\r\n\r\n`,
			'in chunks': `${head}${fields}Transfer-Encoding: chunked\r\n\r\n`,
			'delimited by its connection': `${head}${fields}\r\n`,
			'of HTTP/1.0': `HTTP/1.0 200 OK\r\n${fields}\r\n`,
			'after an informational one': `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n${head}${fields}\r\n`,
		};
		const ends = {
			closed(socket: Socket, data: string) {
				socket.end(data);
			},
			reset(socket: Socket, data: string) {
				socket.write(data);
				resetLater(socket);
			},
		};
		for (const [kind, whole] of Object.entries(heads)) {
			for (const [ending, endWith] of Object.entries(ends)) {
				it(`${kind} is an error after each of its bytes if its connection is ${ending}`, async () => {
					const address = await listen((socket, request) => {
						const length = Number(/^GET \/(?<length>\d+)/v.exec(request)![1]);
						endWith(socket, whole.slice(0, length));
					});
					const lengths = Array.from({length: whole.length}, (_, i) => i);
					await Promise.all(
						lengths.map(async length => {
							const path = `/${length}`;
							const {events} = await send(address, undefined, 0, {path});
							const received = JSON.stringify(whole.slice(0, length));
							assert.deepEqual(events, ['sent', 'error'], received);
						}),
					);
				});

				it(`${kind} is an error on a kept connection that is ${ending}`, async () => {
					const lengths = Array.from({length: whole.length}, (_, i) => i);
					const address = await listen((socket, request) => {
						const length = Number(/^GET \/(?<length>\d+)/v.exec(request)![1]);
						socket.write(`${head}Content-Length: 2\r\n\r\nok`);
						socket.once('data', () => {
							endWith(socket, whole.slice(0, length));
						});
					});
					await Promise.all(
						lengths.map(async length => {
							const kept = {path: `/${length}`, upstream: Upstream.create()};
							const first = await send(address, undefined, 0, kept);
							assert.equal(first.events.at(-1), 'end');
							const {events} = await send(address, undefined, 0, kept);
							const received = JSON.stringify(whole.slice(0, length));
							assert.deepEqual(events, ['sent', 'error'], received);
						}),
					);
				});
			}
		}
	});

	describe('a paused response', {timeout: 2000}, () => {
		const eventHead = `${head}Content-Type: text/event-stream\r\n`;

		// Guards against an assertion of the HTTP client that ended the entry with all its requests.
		it('without a content length is complete when its connection ends during the pause', async () => {
			const address = await listen(socket => {
				socket.end(`${eventHead}\r\nhello`);
			});
			const {events} = await send(address, undefined, 50);
			assert.deepEqual(events, ['sent', '200', 'hello', 'end']);
		});

		// Guards against the same assertion at a reset.
		it('without a content length fails when its connection is reset during the pause', async () => {
			const address = await listen(socket => {
				socket.write(`${eventHead}\r\nhello`);
				resetLater(socket);
			});
			const {events} = await send(address, undefined, 50);
			assert.equal(events.at(-1), 'error');
		});

		// Guards against a whole response being lost because its server closed the connection during the pause.
		it('with a content length is complete although its connection ends during the pause', async () => {
			const address = await listen(socket => {
				socket.write(`${eventHead}Content-Length: 10\r\n\r\nhello`);
				endLater(socket, 'world');
			});
			const {events} = await send(address, undefined, 50);
			assert.deepEqual(events, ['sent', '200', 'hello', 'world', 'end']);
		});
	});

	it('reports an error for a response that is shorter than its content length', async () => {
		const address = await listen(socket => {
			socket.end(`${head}Content-Length: 9\r\n\r\nhello`);
		});
		const {events} = await send(address);
		assert.equal(events.at(-1), 'error');
	});

	it('reports an error without `sent` if no connection can be opened', async () => {
		const address = await listen(() => undefined);
		server!.close();
		await once(server!, 'close');
		const {events} = await send(address);
		assert.deepEqual(events, ['error']);
	});

	it('does not send a request that is canceled when its connection opens', async () => {
		let hasData = false;
		const address = await listen(() => {
			hasData = true;
		});
		const closed = new Promise<void>(resolve => {
			server!.once('connection', socket => {
				socket.once('close', () => {
					resolve();
				});
			});
		});
		Upstream.create().send(
			{
				server: 's',
				address,
				maxConnections: 1,
				method: 'GET',
				path: '/',
				headers: [],
				body: new Uint8Array(0),
			},
			{
				onSending: () => false,
				onHeaders: () => undefined,
				onData: () => true,
				onEnd: () => undefined,
				onError: () => undefined,
			},
		);
		await closed;
		assert.equal(hasData, false);
	});

	it('resets the connection of an aborted request, so that unsent bytes do not reach the server', async () => {
		const code = await new Promise<string | undefined>(resolve => {
			const listening = listen(socket => {
				let error: NodeJS.ErrnoException | undefined;
				socket.on('error', err => {
					error = err;
				});
				socket.once('close', () => {
					resolve(error?.code);
				});
				socket.write(`${head}Content-Length: 9\r\n\r\nhello`);
			});
			void listening.then(async address =>
				send(address, call => {
					call.abort();
				}),
			);
		});
		assert.equal(code, 'ECONNRESET');
	});

	it('closes the connection of an aborted request', async () => {
		await new Promise<void>(resolve => {
			const listening = listen(socket => {
				socket.once('close', () => {
					resolve();
				});
				socket.write(`${head}Content-Length: 9\r\n\r\nhello`);
			});
			void listening.then(async address =>
				send(address, call => {
					call.abort();
				}),
			);
		});
	});

	describe('a response that nobody asked for', () => {
		const answer = (body: string) =>
			`${head}Content-Length: ${body.length}\r\n\r\n${body}`;

		/** Answers the first request with an extra response, which follows after a time, and the others as usual. */
		const respondTwice = (extraAfterMs: number) => {
			let requests = 0;
			return (socket: Socket) => {
				requests++;
				const own = answer(`own ${requests}`);
				if (requests > 1) {
					socket.write(own);
				} else if (extraAfterMs === 0) {
					socket.write(own + answer('extra'));
				} else {
					socket.write(own);
					setTimeout(() => {
						socket.write(answer('extra'));
					}, extraAfterMs);
				}
			};
		};

		/** Sends two requests, one connection at a time. */
		const sendTwo = async (extraAfterMs: number, secondAfterMs: number) => {
			let connections = 0;
			const respond = respondTwice(extraAfterMs);
			server = createServer(socket => {
				connections++;
				socket.on('error', () => undefined);
				socket.on('data', () => {
					respond(socket);
				});
			});
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			const address = server.address();
			assert.ok(address !== null && typeof address === 'object');
			const upstream = Upstream.create();
			const ask = async () => {
				const events: string[] = [];
				return new Promise<readonly string[]>(resolve => {
					upstream.send(
						{
							server: 's',
							address: `127.0.0.1:${address.port}`,
							maxConnections: 1,
							method: 'GET',
							path: '/',
							headers: [],
							body: new Uint8Array(0),
						},
						{
							onSending() {
								events.push('sent');
								return true;
							},
							onHeaders: () => undefined,
							onData(chunk) {
								events.push(chunk.toString());
								return true;
							},
							onEnd() {
								resolve([...events, 'end']);
							},
							onError() {
								resolve([...events, 'error']);
							},
						},
					);
				});
			};

			const first = ask();
			if (secondAfterMs > 0) {
				await delay(secondAfterMs);
			}

			const second = await ask();
			return {first: await first, second, connections};
		};

		for (const [when, extraAfterMs, secondAfterMs] of [
			['with the first one while the next request waits', 0, 0],
			['with the first one on an idle connection', 0, 50],
			['later on an idle connection', 20, 60],
		] as const) {
			// Guards against an extra response that is passed on as that of the next request on its connection (MIXED).
			it(`is not passed on if it comes ${when}`, async () => {
				const ends = await sendTwo(extraAfterMs, secondAfterMs);
				assert.deepEqual(ends, {
					first: ['sent', 'own 1', 'end'],
					second: ['sent', 'own 2', 'end'],
					connections: 2,
				});
			});
		}
	});
});
