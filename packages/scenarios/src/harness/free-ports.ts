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

/** Next port of this worker to look at; undefined before the first. */
let nextPort: number | undefined;

/**
 * Finds `count` TCP ports that are free on the loopback interface. Goes through the worker's range once before it
 * names a port again: a process that starts up does not listen yet on the port that it was given.
 */
export async function freePorts(count: number): Promise<readonly number[]> {
	const {lowest, highest} = rangeOf(
		Number(process.env.CUCUMBER_WORKER_ID ?? 0),
	);
	const ports: number[] = [];
	for (let i = 0; ports.length < count; i++) {
		if (i > mostTries) {
			throw new Error('found no free port');
		}

		const port = nextPort ?? randomInt(lowest, highest);
		nextPort = port + 1 < highest ? port + 1 : lowest;
		// Ports are looked at one after the other.
		// eslint-disable-next-line no-await-in-loop
		if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}
