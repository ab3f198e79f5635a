import {Worker} from 'node:worker_threads';
import type {ServingFigures} from './figures.js';

/** One experiment under one policy with one seed. */
export type RunOrder = {
	readonly experiment: string;
	readonly policy: string;
	readonly seed: number;
};

/** A run with its figures. */
export type RunResult = RunOrder & {readonly figures: ServingFigures};

async function runIn(worker: Worker, order: RunOrder): Promise<RunResult> {
	return new Promise((resolve, reject) => {
		worker.once('error', reject);
		worker.once('message', (figures: ServingFigures) => {
			worker.off('error', reject);
			resolve({...order, figures});
		});
		worker.postMessage(order);
	});
}

/** Runs the orders on a few threads and returns the results in the same order. */
export async function runAll(
	orders: readonly RunOrder[],
	threads: number,
): Promise<readonly RunResult[]> {
	const results = new Map<RunOrder, RunResult>();
	const waiting = [...orders];
	const drain = async () => {
		// Threads are kept for many runs: each new one takes code space that is not given back at once.
		const worker = new Worker(new URL('run-worker.js', import.meta.url));
		for (
			let order = waiting.shift();
			order !== undefined;
			order = waiting.shift()
		) {
			// Each thread runs one order after the other.
			// eslint-disable-next-line no-await-in-loop
			results.set(order, await runIn(worker, order));
		}

		await worker.terminate();
	};

	await Promise.all(Array.from({length: threads}, drain));
	return orders.map(order => results.get(order)!);
}
