/**
 * Soak test: runs the randomized checks with consecutive seeds until the time expires or a check fails:
 * `npm run soak -- --minutes N --seed S`. Exits with 1 after the round of the first failure; the message names the seed.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	allFaults,
	RateSchedule,
	shortLeaseTimes,
} from '../measure/rate-fleet/rate-schedule.js';
import {experiments} from '../measure/serving/experiments.js';
import {servingPolicies} from '../measure/serving/policies.js';
import {runExperiment} from '../measure/serving/run-experiment.js';
import {
	checkConvergenceUnderFaults,
	checkConvergenceWithRarePolls,
} from '../spread/spread-schedules.js';

const minuteMs = 60_000;
const schedulesPerSeed = 100;

const {values} = parseArgs({
	options: {
		minutes: {type: 'string', default: '1'},
		seed: {type: 'string', default: '1'},
	},
});

/** Checks distributed rate limiting under all faults against one global token bucket. */
function checkRate(seed: number): void {
	for (let i = 0; i < schedulesPerSeed; i++) {
		const scheduleSeed = seed * schedulesPerSeed + i;
		const {excess} = RateSchedule.create(scheduleSeed, allFaults, {
			kind: 'shards',
			shardsPerCustomer: 3,
			times: shortLeaseTimes,
		}).run();
		if (excess !== undefined) {
			throw new Error(
				`schedule ${scheduleSeed} exceeded the rate limit: ${JSON.stringify(excess)}`,
			);
		}
	}
}

/** Checks that cold engines are not overrun. The ledger throws if a request does not end exactly once. */
function checkServing(seed: number): void {
	const experiment = experiments[seed % experiments.length]!;
	const figures = runExperiment(experiment, servingPolicies[0]!, seed);
	if (figures.overruns > 0) {
		throw new Error(
			`${experiment.name}: ${figures.overruns} requests exceeded the capacity of a cold engine`,
		);
	}
}

const checks: ReadonlyMap<string, (seed: number) => void> = new Map([
	['rate', checkRate],
	[
		'spread under faults',
		(seed: number) => {
			checkConvergenceUnderFaults(seed, schedulesPerSeed);
		},
	],
	[
		'spread with rare polls',
		(seed: number) => {
			checkConvergenceWithRarePolls(seed, schedulesPerSeed);
		},
	],
	['serving', checkServing],
]);

const endAt = Date.now() + Number(values.minutes) * minuteMs;
let seed = Number(values.seed);
let rounds = 0;
while (Date.now() < endAt && process.exitCode === undefined) {
	for (const [name, check] of checks) {
		try {
			check(seed);
		} catch (error) {
			process.stderr.write(`${name}, seed ${seed}: ${String(error)}\n`);
			process.exitCode = 1;
		}
	}

	seed++;
	rounds++;
}

process.stdout.write(
	`${rounds} rounds from seed ${values.seed}: ${process.exitCode === 1 ? 'failed' : 'passed'}\n`,
);
