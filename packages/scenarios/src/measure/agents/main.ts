import process from 'node:process';
import {parseArgs} from 'node:util';
import type {Experiment} from '../serving/types.js';
import {AgentFleet} from './agent-fleet.js';
import {figuresOf, type AgentFigures} from './agent-figures.js';
import {agentPolicies} from './policies.js';

const experiments: readonly Experiment[] = [
	{name: 'steady', description: 'Usual traffic', disturbances: []},
	{
		name: 'shift',
		description: 'The popularity of adapters shifts',
		disturbances: [],
		popularityShiftAtMs: 60_000,
	},
	{
		name: 'overload',
		description: 'The largest customer sends six times its usual traffic',
		disturbances: [],
		overload: {customer: 0, factor: 6},
	},
	{
		name: 'restart',
		description: 'Four engines restart without loaded adapters',
		disturbances: [
			{kind: 'enginesRestart', engines: [0, 1, 2, 3], atMs: 30_000},
		],
	},
];

/**
 * Usage: `main.js [--policies NAME,…] [--experiments NAME,…] [--seeds N]`.
 * Compares agent policies. Prints one line of JSON per experiment and policy, with the medians over the seeds.
 */
const {values} = parseArgs({
	options: {
		policies: {type: 'string', default: 'naive,default'},
		experiments: {type: 'string', default: 'steady,shift,overload,restart'},
		seeds: {type: 'string', default: '3'},
	},
});

for (const name of values.experiments.split(',')) {
	for (const policyName of values.policies.split(',')) {
		const experiment = experiments.find(found => found.name === name);
		const policy = agentPolicies.get(policyName);
		if (!experiment || !policy) {
			throw new Error(`unknown experiment or policy: ${name}, ${policyName}`);
		}

		const runs = Array.from({length: Number(values.seeds)}, (_, i) =>
			figuresOf(AgentFleet.create(policy).run(experiment, i + 1), experiment),
		);
		process.stdout.write(
			`${JSON.stringify({experiment: name, policy: policyName, ...medians(runs)})}\n`,
		);
	}
}

function medians(runs: readonly AgentFigures[]): Record<string, number> {
	const [first] = runs;
	const names = Object.keys(first ?? {});
	return Object.fromEntries(
		names.map(name => {
			const sorted = runs
				.map(run => Number(Reflect.get(run, name)))
				.toSorted((a, b) => a - b);
			const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
			return [name, Number(median.toPrecision(4))];
		}),
	);
}
