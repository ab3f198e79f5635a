import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {CallerConnection} from './caller-connection.js';
import {CallerMemory} from './caller-memory.js';
import {memoryUsedUp, type ConnectionRequest} from './types.js';

const refusal = memoryUsedUp(1000);

describe('CallerConnection', () => {
	let server: Server;
	let client: Socket;
	let connection: CallerConnection<ConnectionRequest>;
	let received = '';
	const closedFor: string[] = [];
	const responses: ServerResponse[] = [];

	beforeEach(async () => {
		received = '';
		closedFor.length = 0;
		responses.length = 0;
		const clock = () => 0;
		const memory = CallerMemory.create({clock, maxBytes: () => 1e6});
		server = createServer((_req, res) => {
			connection.noteRequest(res, false);
			connection.add(res, {
				isReading: false,
				get isEnded() {
					return res.writableEnded;
				},
				refuse: () => undefined,
			});
			responses.push(res);
			res.once('close', () => {
				connection.remove(res);
			});
		});
		server.on('connection', socket => {
			connection = CallerConnection.create(socket, {
				clock,
				memory,
				format: ({status, reason}) => `HTTP/1.1 ${status} ${reason}\r\n\r\n`,
				onClosed(reason) {
					closedFor.push(reason);
				},
			});
		});
		server.on('clientError', () => {
			connection.refuse({status: 400, reason: 'malformed', isNotRun: true});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		// A TCP server's address is an object.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const {port} = server.address() as AddressInfo;
		client = connect({port, host: '127.0.0.1'});
		client.setEncoding('utf8');
		client.on('error', () => undefined);
		client.on('data', (text: string) => {
			received += text;
		});
		await once(client, 'connect');
		await delay(20);
	});

	afterEach(() => {
		client.destroy();
		server.close();
		server.closeAllConnections();
	});

	// Guards against an error of a request that is taken for the response to the one before it (MIXED).
	it('answers a running request before it closes for an error of the one behind it', async () => {
		client.write('GET / HTTP/1.1\r\nHost: a\r\n\r\nno request\r\n\r\n');
		await delay(50);
		assert.equal(received, '');
		responses[0]?.end('served');
		await once(client, 'close');
		assert.match(received, /^HTTP\/1\.1 200 OK[\s\S]*served/v);
		assert.equal(received.split('HTTP/1.1').length - 1, 1);
		assert.deepEqual(closedFor, ['malformed']);
	});

	it('refuses a part of a request when it yields', async () => {
		client.write('GET / HTTP/1.1\r\nHost: a\r\n');
		await delay(50);
		connection.giveUp(refusal);
		await once(client, 'close');
		assert.equal(received, 'HTTP/1.1 503 memoryUsedUp\r\n\r\n');
	});

	it('closes without a response when it yields without a request', async () => {
		client.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
		await delay(50);
		responses[0]?.end('served');
		await delay(50);
		const before = received;
		connection.giveUp(refusal);
		await once(client, 'close');
		assert.equal(received, before);
		assert.deepEqual(closedFor, ['memoryUsedUp']);
	});
});
