import {experiments} from './experiments.js';
import {servingPolicies} from './policies.js';
import type {Experiment, ServingPolicy} from './types.js';

function findByName<T extends {readonly name: string}>(
	items: readonly T[],
	name: string,
	kind: string,
): T {
	const found = items.find(item => item.name === name);
	if (found === undefined) {
		const names = items.map(item => item.name).join(', ');
		throw new Error(`there is no ${kind} "${name}"; there are: ${names}`);
	}

	return found;
}

/** Looks an experiment up. Throws an error that names all of them. */
export function findExperiment(name: string): Experiment {
	return findByName(experiments, name, 'experiment');
}

/** Looks a policy up. Throws an error that names all of them. */
export function findPolicy(name: string): ServingPolicy {
	return findByName(servingPolicies, name, 'policy');
}
