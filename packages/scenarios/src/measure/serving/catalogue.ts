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
		throw new Error(`unknown ${kind} "${name}"; expected one of: ${names}`);
	}

	return found;
}

/**
 * Returns the experiment with the name.
 * @throws Error that lists all experiments if there is no such experiment
 */
export function findExperiment(name: string): Experiment {
	return findByName(experiments, name, 'experiment');
}

/**
 * Returns the policy with the name.
 * @throws Error that lists all policies if there is no such policy
 */
export function findPolicy(name: string): ServingPolicy {
	return findByName(servingPolicies, name, 'policy');
}
