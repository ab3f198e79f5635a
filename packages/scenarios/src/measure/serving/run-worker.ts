/** Worker thread that runs experiments one after the other and posts their figures. */
import {parentPort} from 'node:worker_threads';
import {z} from 'zod';
import {findExperiment, findPolicy} from './catalogue.js';
import {runExperiment} from './run-experiment.js';

const orderSchema = z.object({
	experiment: z.string(),
	policy: z.string(),
	seed: z.number(),
});

parentPort?.on('message', (message: unknown) => {
	const {experiment, policy, seed} = orderSchema.parse(message);
	parentPort?.postMessage(
		runExperiment(findExperiment(experiment), findPolicy(policy), seed),
	);
});
