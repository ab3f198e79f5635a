import {measuredMs, warmUpMs} from './constants.js';
import {figuresOf, type ServingFigures} from './figures.js';
import {ServingFleet} from './serving-fleet.js';
import type {Experiment, ServingPolicy} from './types.js';
import {workloadCustomers} from './workload.js';

/** Runs one experiment once. The same seed gives the same figures. */
export function runExperiment(
	experiment: Experiment,
	policy: ServingPolicy,
	seed: number,
): ServingFigures {
	const fleet = ServingFleet.create(experiment, policy, seed);
	const records = fleet.run();
	const {overload} = experiment;
	return figuresOf(
		records,
		fleet.counts(),
		warmUpMs + measuredMs,
		overload && workloadCustomers[overload.customer]?.name,
	);
}
