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

async function runInWorker(order: RunOrder): Promise<RunResult> {
	return new Promise((resolve, reject) => {
		const worker = new Worker(new URL('run-worker.js', import.meta.url), {
			workerData: order,
		});
		worker.once('message', (figures: ServingFigures) => {
			resolve({...order, figures});
		});
		worker.once('error', reject);
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
		for (;;) {
			const order = waiting.shift();
			if (order === undefined) {
				return;
			}

			// Each thread runs one order after the other.
			// eslint-disable-next-line no-await-in-loop
			results.set(order, await runInWorker(order));
		}
	};

	await Promise.all(Array.from({length: threads}, drain));
	return orders.map(order => results.get(order)!);
}
