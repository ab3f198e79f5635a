import {Worker} from 'node:worker_threads';
import type {ServingFigures} from './figures.js';

/** Run of one experiment with one policy and one seed. */
export type RunJob = {
	readonly experiment: string;
	readonly policy: string;
	readonly seed: number;
};

/** A completed run with its figures. */
export type RunResult = RunJob & {readonly figures: ServingFigures};

async function runOnWorker(worker: Worker, job: RunJob): Promise<RunResult> {
	return new Promise((resolve, reject) => {
		worker.once('error', reject);
		worker.once('message', (figures: ServingFigures) => {
			worker.off('error', reject);
			resolve({...job, figures});
		});
		worker.postMessage(job);
	});
}

/** Runs the jobs on worker threads. Returns the results in the order of the jobs. */
export async function runAll(
	jobs: readonly RunJob[],
	threads: number,
): Promise<readonly RunResult[]> {
	const results = new Map<RunJob, RunResult>();
	const waiting = [...jobs];
	const runWorker = async () => {
		// Workers are reused: each new one allocates code space that is not released immediately.
		const worker = new Worker(new URL('run-worker.js', import.meta.url));
		for (let job = waiting.shift(); job !== undefined; job = waiting.shift()) {
			// Each worker runs one job at a time.
			// eslint-disable-next-line no-await-in-loop
			results.set(job, await runOnWorker(worker, job));
		}

		await worker.terminate();
	};

	await Promise.all(Array.from({length: threads}, runWorker));
	return jobs.map(job => results.get(job)!);
}
