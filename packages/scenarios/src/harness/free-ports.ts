import {createServer} from 'node:net';

/** Takes a free TCP port on the loopback interface and gives it up again at once. */
async function freePort(): Promise<number> {
	const server = createServer();
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	if (address === null || typeof address === 'string') {
		throw new TypeError('a TCP server has no port');
	}

	await new Promise(resolve => {
		server.close(resolve);
	});
	return address.port;
}

/** Finds `count` distinct TCP ports that are free on the loopback interface. */
export async function freePorts(count: number): Promise<readonly number[]> {
	const ports = new Set<number>();
	while (ports.size < count) {
		// Ports are taken one after the other, so that the same one is not found twice.
		// eslint-disable-next-line no-await-in-loop
		ports.add(await freePort());
	}

	return [...ports];
}
