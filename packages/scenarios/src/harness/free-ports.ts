import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import process from 'node:process';

/** Below the range from which the system takes the ports of outgoing connections, so that none takes a port meanwhile. */
const lowestPort = 12_000;
const highestPort = 28_000;

/** Workers that may run scenarios at once. */
const mostWorkers = 8;
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

/** Ports of one worker. Workers that run at once have ranges of their own, so that none takes another's find. */
function rangeOf(worker: number): {
	readonly lowest: number;
	readonly highest: number;
} {
	const size = Math.floor((highestPort - lowestPort) / mostWorkers);
	const lowest = lowestPort + (worker % mostWorkers) * size;
	return {lowest, highest: lowest + size};
}

/** Finds `count` distinct TCP ports that are free on the loopback interface. */
export async function freePorts(count: number): Promise<readonly number[]> {
	const {lowest, highest} = rangeOf(
		Number(process.env.CUCUMBER_WORKER_ID ?? 0),
	);
	const ports = new Set<number>();
	for (let i = 0; ports.size < count; i++) {
		if (i > mostTries) {
			throw new Error('found no free port');
		}

		const port = randomInt(lowest, highest);
		// Ports are taken one after the other, so that the same one is not found twice.
		// eslint-disable-next-line no-await-in-loop
		if (!ports.has(port) && (await isFree(port))) {
			ports.add(port);
		}
	}

	return [...ports];
}
