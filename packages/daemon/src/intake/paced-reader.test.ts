import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {maxHeldBytes} from './constants.js';
import {PacedReader} from './paced-reader.js';

const maxRequests = 4;
const request = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

describe('PacedReader', () => {
	let server: Server;
	let client: Socket;
	let reader: PacedReader;
	let held = 0;
	let received = '';
	const responses: ServerResponse[] = [];

	beforeEach(async () => {
		received = '';
		held = 0;
		responses.length = 0;
		server = createServer((_req, res) => {
			reader.noteEvent();
			responses.push(res);
		});
		server.on('connection', socket => {
			reader = PacedReader.create(socket, {
				mayParse: () => responses.length < maxRequests,
				bodyBytesLeft: () => 0,
				onParsed: () => undefined,
				onHeld(bytes) {
					held = bytes;
				},
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		// A TCP server's address is an object.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const {port} = server.address() as AddressInfo;
		client = connect({port, host: '127.0.0.1'});
		client.setEncoding('utf8');
		client.on('data', (text: string) => {
			received += text;
		});
		client.on('error', () => undefined);
	});

	afterEach(() => {
		client.destroy();
		server.close();
		server.closeAllConnections();
	});

	const endAll = () => {
		for (const res of responses.splice(0)) {
			res.end('x');
		}

		reader.resume();
	};

	it('gives the parser no further request while as many run as may', async () => {
		client.write(request.repeat(1000));
		await delay(50);
		const seen = responses.length;
		assert.ok(seen >= maxRequests && seen < 300);
		assert.ok(held > 0);
		await delay(50);
		assert.equal(responses.length, seen);
	});

	it('serves all requests of a connection in the end', async () => {
		client.write(request.repeat(1000));
		const count = () => received.split('HTTP/1.1 200').length - 1;
		for (let i = 0; i < 500 && count() < 1000; i++) {
			endAll();
			// eslint-disable-next-line no-await-in-loop
			await delay(5);
		}

		assert.equal(count(), 1000);
		assert.equal(held, 0);
	});

	it('keeps about one read of what waits', async () => {
		client.write(request.repeat(100_000));
		await delay(100);
		assert.ok(held <= 2 * maxHeldBytes);
	});

	it('passes on the end of the connection while bytes wait', async () => {
		client.write(request.repeat(1000));
		await delay(50);
		assert.ok(held > 0);
		client.end();
		await once(client, 'close');
		assert.equal(held, 0);
	});

	it('notices the end of a connection that it had stopped to read', async () => {
		client.write(request.repeat(100_000));
		await delay(100);
		reader.discard();
		client.destroy();
		await delay(100);
		assert.ok(responses.every(({req}) => req.socket.destroyed));
	});

	it('drops what follows once it is not needed', async () => {
		client.write(request.repeat(1000));
		await delay(50);
		reader.discard();
		const seen = responses.length;
		endAll();
		client.write(request.repeat(1000));
		await delay(50);
		assert.equal(responses.length, 0);
		assert.equal(received.split('HTTP/1.1 200').length - 1, seen);
	});
});
