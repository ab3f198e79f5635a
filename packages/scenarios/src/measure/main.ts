/**
 * Runs an experiment in virtual time or measures slopes of state and cost:
 * `npm run measure -- <experiment> [--policy NAME,…] [--seed S] [--seeds N] [--threads N] [--json]`.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {measureCapacity} from './capacity/measure-capacity.js';
import {measureRate, measureRateCost} from './rate.js';
import {measureRouting} from './routing.js';
import {experiments} from './serving/experiments.js';
import {formatReport} from './serving/report.js';
import {runAll, type RunOrder} from './serving/run-seeds.js';
import {measureSpread} from './spread.js';

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {
		policy: {type: 'string', default: 'ours,naive'},
		seed: {type: 'string', default: '1'},
		seeds: {type: 'string', default: '1'},
		threads: {type: 'string', default: '4'},
		json: {type: 'boolean', default: false},
	},
});

const firstSeed = Number(values.seed);

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

function printJson(value: unknown): void {
	print(JSON.stringify(value, undefined, '\t'));
}

function ordersOf(names: readonly string[]): readonly RunOrder[] {
	const seeds = Array.from(
		{length: Number(values.seeds)},
		(_, i) => firstSeed + i,
	);
	return names.flatMap(experiment =>
		values.policy
			.split(',')
			.flatMap(policy => seeds.map(seed => ({experiment, policy, seed}))),
	);
}

async function measureServing(names: readonly string[]): Promise<void> {
	const results = await runAll(ordersOf(names), Number(values.threads));
	if (values.json) {
		printJson(results);
	} else {
		print(formatReport(results));
	}
}

const servingNames = experiments.map(({name}) => name);
const [experiment = ''] = positionals;

if (experiment === 'serving') {
	await measureServing(servingNames);
} else if (servingNames.includes(experiment)) {
	await measureServing([experiment]);
} else
	switch (experiment) {
		case 'routing': {
			printJson(measureRouting({seed: firstSeed}));

			break;
		}

		case 'rate': {
			printJson(
				measureRate({
					seeds: Array.from(
						{length: Number(values.seeds)},
						(_, i) => firstSeed + i,
					),
				}),
			);

			break;
		}

		case 'rate-cost': {
			printJson(measureRateCost());

			break;
		}

		case 'spread': {
			printJson(await measureSpread(firstSeed));

			break;
		}

		case 'capacity': {
			printJson(await measureCapacity(firstSeed));

			break;
		}

		default: {
			const names = [
				'serving',
				...servingNames,
				'routing',
				'spread',
				'capacity',
			];
			process.stderr.write(
				`measure: no experiment "${experiment}"; there are: ${names.join(', ')}\n`,
			);
			process.exitCode = 2;
		}
	}
