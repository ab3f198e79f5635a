import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {request} from 'undici';
import {ListenerGuard} from './listener-guard.js';

describe('ListenerGuard', () => {
	let server: Server;
	let port = 0;
	let running = 0;
	let maxRunning = 0;
	const sockets: Socket[] = [];

	beforeEach(async () => {
		running = 0;
		maxRunning = 0;
		server = createServer((_req, res) => {
			running++;
			maxRunning = Math.max(maxRunning, running);
			setImmediate(() => {
				running--;
				res.end('ok');
			});
		});
		ListenerGuard.attach(server, 4);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		// A TCP server's address is an object.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		({port} = server.address() as AddressInfo);
	});

	afterEach(() => {
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		server.close();
		server.closeAllConnections();
	});

	const open = async () => {
		const socket = connect({port, host: '127.0.0.1'});
		sockets.push(socket);
		socket.on('error', () => undefined);
		await once(socket, 'connect');
		return socket;
	};

	it('answers a request while others hold all connections', async () => {
		for (let i = 0; i < 20; i++) {
			// eslint-disable-next-line no-await-in-loop
			const socket = await open();
			socket.write('GET / HTTP/1.1\r\n');
		}

		const {body} = await request(`http://127.0.0.1:${port}/`);
		assert.equal(await body.text(), 'ok');
	});

	it('handles no more requests of a connection at once than one part holds', async () => {
		const socket = await open();
		const count = 5000;
		let received = '';
		socket.setEncoding('utf8');
		const isServed = new Promise<void>(resolve => {
			socket.on('data', (chunk: string) => {
				received += chunk;
				if (received.split('HTTP/1.1 200').length > count) {
					resolve();
				}
			});
		});
		socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(count));
		await isServed;
		assert.ok(maxRunning < 300);
	});
});
