import {parentPort} from 'node:worker_threads';
import {z} from 'zod';
import {findExperiment, findPolicy} from './catalogue.js';
import {runExperiment} from './run-experiment.js';

const jobSchema = z.object({
	experiment: z.string(),
	policy: z.string(),
	seed: z.number(),
});

// Runs each posted job and posts its figures back.
parentPort?.on('message', (message: unknown) => {
	const {experiment, policy, seed} = jobSchema.parse(message);
	parentPort?.postMessage(
		runExperiment(findExperiment(experiment), findPolicy(policy), seed),
	);
});
