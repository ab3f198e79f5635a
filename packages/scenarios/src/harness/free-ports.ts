import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';

/** Below the range from which the system takes the ports of outgoing connections, so that none takes a port meanwhile. */
const lowestPort = 12_000;
const highestPort = 32_000;
const mostTries = 1000;

/** Whether a TCP port on the loopback interface can be listened on. Gives it up again at once. */
async function isFree(port: number): Promise<boolean> {
	const server = createServer();
	const isListening = await new Promise<boolean>(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(true);
		});
	});
	if (isListening) {
		await new Promise(resolve => {
			server.close(resolve);
		});
	}

	return isListening;
}

/** Finds `count` distinct TCP ports that are free on the loopback interface. */
export async function freePorts(count: number): Promise<readonly number[]> {
	const ports = new Set<number>();
	for (let i = 0; ports.size < count; i++) {
		if (i > mostTries) {
			throw new Error('found no free port');
		}

		const port = randomInt(lowestPort, highestPort);
		// Ports are taken one after the other, so that the same one is not found twice.
		// eslint-disable-next-line no-await-in-loop
		if (!ports.has(port) && (await isFree(port))) {
			ports.add(port);
		}
	}

	return [...ports];
}
