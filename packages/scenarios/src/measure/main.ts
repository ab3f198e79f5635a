import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {checkDutySchedules} from '../duties/duty-schedules.js';
import {measureCapacity} from './capacity/measure-capacity.js';
import {measureFailureDetection} from './failure-detection.js';
import {measureRate, measureRateCost} from './rate.js';
import {measureRouting} from './routing.js';
import {experiments} from './serving/experiments.js';
import {formatReport} from './serving/report.js';
import {runAll, type RunJob} from './serving/run-seeds.js';
import {formatScores} from './serving/scores.js';
import {measureSpread} from './spread.js';

/**
 * Usage: `npm run measure -- <experiment> [--policy NAME,…] [--seed S] [--seeds N] [--threads N] [--json]`.
 * `--seed` is the first seed, `--seeds` the number of consecutive seeds.
 */
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
const seeds = Array.from(
	{length: Number(values.seeds)},
	(_, i) => firstSeed + i,
);
const servingNames = experiments.map(({name}) => name);

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

function createJobs(names: readonly string[]): readonly RunJob[] {
	const policies = values.policy.split(',');
	return names.flatMap(experiment =>
		policies.flatMap(policy => seeds.map(seed => ({experiment, policy, seed}))),
	);
}

async function measureServing(names: readonly string[]): Promise<void> {
	const results = await runAll(createJobs(names), Number(values.threads));
	print(
		values.json
			? JSON.stringify(results, undefined, '\t')
			: formatReport(results),
	);
	if (!values.json && names.includes('zone')) {
		print(`\n${formatScores(results)}`);
	}
}

/** Number of schedules of singleton duties that `schedules` checks. */
const scheduleCount = 1_000_000;

/** Schedules per run of fast-check. The progress is printed after each. */
const schedulesPerRun = 10_000;

/** Checks the election of a duty's holder in many schedules. Throws with the shortest schedule that breaks a rule. */
function measureSchedules(): unknown {
	const startedAt = performance.now();
	for (let run = 0; run < scheduleCount / schedulesPerRun; run++) {
		checkDutySchedules(firstSeed + run, schedulesPerRun);
		process.stderr.write(`${(run + 1) * schedulesPerRun} schedules\n`);
	}

	const seconds = Math.round((performance.now() - startedAt) / 1000);
	return {schedules: scheduleCount, firstSeed, seconds, broken: 0};
}

/** Experiments that always print JSON, by name. */
const jsonExperiments: ReadonlyMap<string, () => unknown> = new Map<
	string,
	() => unknown
>([
	['routing', () => measureRouting({seed: firstSeed})],
	['failure-detection', () => measureFailureDetection()],
	['rate', () => measureRate({seeds})],
	['rate-cost', () => measureRateCost()],
	['spread', async () => measureSpread(firstSeed)],
	['capacity', async () => measureCapacity(firstSeed)],
	['schedules', () => measureSchedules()],
]);

async function main(name: string): Promise<void> {
	const measure = jsonExperiments.get(name);
	if (measure !== undefined) {
		print(JSON.stringify(await measure(), undefined, '\t'));
	} else if (name === 'serving') {
		await measureServing(servingNames);
	} else if (servingNames.includes(name)) {
		await measureServing([name]);
	} else {
		const names = ['serving', ...servingNames, ...jsonExperiments.keys()].join(
			', ',
		);
		process.stderr.write(
			`measure: unknown experiment "${name}"; expected one of: ${names}\n`,
		);
		process.exitCode = 2;
	}
}

await main(positionals[0] ?? '');
