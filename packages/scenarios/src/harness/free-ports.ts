import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import process from 'node:process';

/** Ports are below the system's ephemeral range, so outgoing connections don't take them in the meantime. */
const minPort = 12_000;
const maxPort = 28_000;

/** Maximum number of parallel Cucumber workers, each with its own port range. */
const maxWorkers = 8;
const maxAttempts = 1000;

/** Checks whether a TCP port on the loopback interface is free by briefly listening on it. */
async function isPortFree(port: number): Promise<boolean> {
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

/** Port range of one worker. Ranges don't overlap, so parallel workers never choose the same port. `end` is exclusive. */
function getWorkerPortRange(worker: number): {
	readonly start: number;
	readonly end: number;
} {
	const size = Math.floor((maxPort - minPort) / maxWorkers);
	const start = minPort + (worker % maxWorkers) * size;
	return {start, end: start + size};
}

/** Next port to check; undefined before the first call, which starts at a random port. */
let nextPort: number | undefined;

/**
 * Finds `count` free TCP ports on the loopback interface. Cycles through the worker's whole range before it returns a
 * port again, because a starting process does not yet listen on its assigned port. Throws if it finds too few.
 */
export async function freePorts(count: number): Promise<readonly number[]> {
	const {start, end} = getWorkerPortRange(
		Number(process.env.CUCUMBER_WORKER_ID ?? 0),
	);
	const ports: number[] = [];
	for (let i = 0; ports.length < count; i++) {
		if (i > maxAttempts) {
			throw new Error('no free port found');
		}

		const port = nextPort ?? randomInt(start, end);
		nextPort = port + 1 < end ? port + 1 : start;
		// Stops as soon as enough free ports are found.
		// eslint-disable-next-line no-await-in-loop
		if (await isPortFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}
