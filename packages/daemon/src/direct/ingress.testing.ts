import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:net';

/** Returns a port that was free when checked. */
export async function freePort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	server.close();
	await once(server, 'close');
	assert.ok(address !== null && typeof address === 'object');
	return address.port;
}
