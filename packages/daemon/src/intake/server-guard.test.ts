import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import fastify, {type FastifyInstance} from 'fastify';
import {CallerIntake} from './caller-intake.js';
import {ServerGuard, type GuardedRequest} from './server-guard.js';

const maxBodyBytes = 64 * 1024;

describe('ServerGuard', () => {
	let app: FastifyInstance;
	let intake: CallerIntake<GuardedRequest>;
	let port = 0;
	let isBodyRead = true;
	const bodies: number[] = [];
	const sockets: Socket[] = [];

	beforeEach(async () => {
		isBodyRead = true;
		bodies.length = 0;
		app = fastify({bodyLimit: maxBodyBytes, forceCloseConnections: true});
		app.removeAllContentTypeParsers();
		app.addContentTypeParser('*', {parseAs: 'buffer'}, (_req, body, done) => {
			done(null, body);
		});
		app.post('/', async (req, reply) => {
			const body = req.body instanceof Buffer ? req.body : Buffer.alloc(0);
			bodies.push(body.length);
			return reply.send('ok');
		});
		let now = 0;
		const clock = () => now++;
		intake = CallerIntake.create({
			clock,
			capacity: {memoryBytes: 1e6, heapBytes: 1e9, descriptors: 100},
			maxBodyBytes,
			onClosed: () => undefined,
		});
		ServerGuard.attach(app, {
			intake,
			clock,
			readsBody: () => isBodyRead,
			response: ({reason}) => ({headers: {}, body: reason}),
		});
		const url = await app.listen({host: '127.0.0.1', port: 0});
		port = Number(new URL(url).port);
	});

	afterEach(async () => {
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		await app.close();
	});

	/** Opens a connection, writes and collects what comes back. */
	const send = (...parts: readonly string[]) => {
		const socket = connect({port, host: '127.0.0.1'});
		sockets.push(socket);
		const client = {received: '', socket};
		socket.setEncoding('utf8');
		socket.on('error', () => undefined);
		socket.on('data', (text: string) => {
			client.received += text;
		});
		for (const part of parts) {
			socket.write(part);
		}

		return client;
	};

	const statusOf = async (client: {readonly received: string}) => {
		for (let i = 0; i < 200 && client.received === ''; i++) {
			// eslint-disable-next-line no-await-in-loop
			await delay(10);
		}

		return client.received.split(' ')[1];
	};

	const head = (field: string) =>
		`POST / HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain\r\n${field}\r\n\r\n`;
	const chunked = head('Transfer-Encoding: chunked');

	it('passes on a body in chunks of one byte', async () => {
		const client = send(chunked, '1\r\nx\r\n'.repeat(20_000), '0\r\n\r\n');
		assert.equal(await statusOf(client), '200');
		assert.deepEqual(bodies, [20_000]);
		assert.ok(intake.keptBytes < maxBodyBytes);
	});

	it('does not read the body of a request that is refused in any case', async () => {
		isBodyRead = false;
		const client = send(head(`Content-Length: ${maxBodyBytes}`), 'xxx');
		assert.equal(await statusOf(client), '200');
		assert.deepEqual(bodies, [0]);
		assert.match(client.received, /connection: close/iv);
	});

	it('refuses a body over the limit, announced or not', async () => {
		const announced = send(head(`Content-Length: ${maxBodyBytes + 1}`));
		assert.equal(await statusOf(announced), '413');
		const poured = send(
			chunked,
			`${(2 * maxBodyBytes).toString(16)}\r\n`,
			'x'.repeat(2 * maxBodyBytes),
		);
		assert.equal(await statusOf(poured), '413');
		assert.deepEqual(bodies, []);
	});

	it('refuses the largest stalled bodies when the memory is used up, and serves the next request', async () => {
		const stalled = Array.from({length: 10}, () =>
			send(head(`Content-Length: ${maxBodyBytes}`), 'x'.repeat(60_000)),
		);
		await delay(200);
		const refused = stalled.filter(({received}) => received !== '');
		assert.ok(refused.length >= 5);
		for (const {received} of refused) {
			assert.match(received, /^HTTP\/1\.1 503 [\s\S]*memoryUsedUp$/v);
		}

		assert.ok(intake.keptBytes <= 250_000);
		const small = send(head('Content-Length: 2'), 'hi');
		assert.equal(await statusOf(small), '200');
	});
});
