/** Worker thread that runs one experiment once and posts its figures. */
import {parentPort, workerData} from 'node:worker_threads';
import {z} from 'zod';
import {findExperiment, findPolicy} from './catalogue.js';
import {runExperiment} from './run-experiment.js';

const {experiment, policy, seed} = z
	.object({experiment: z.string(), policy: z.string(), seed: z.number()})
	.parse(workerData);

parentPort?.postMessage(
	runExperiment(findExperiment(experiment), findPolicy(policy), seed),
);
