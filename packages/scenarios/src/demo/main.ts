/**
 * Demo: runs a fleet of real processes on this machine with the example document, sends traffic and checks every response.
 * With `--once` it then stops the fleet; else the fleet runs until it is interrupted. Exits with 0 if every response was
 * correct, else with 1.
 */
import {once} from 'node:events';
import process from 'node:process';
import {createDemoFleet, type DemoFleet} from './demo-fleet.js';
import {runTraffic} from './demo-traffic.js';
import {formatAddresses, formatOutcomes} from './report.js';

const isOnce = process.argv.includes('--once');

async function printOutcomes(demo: DemoFleet): Promise<boolean> {
	const outcomes = await runTraffic(demo);
	print(formatOutcomes(outcomes));
	return outcomes.every(({sent, correct}) => sent === correct);
}

async function waitForInterrupt(demo: DemoFleet): Promise<void> {
	print(`\n${formatAddresses(demo)}\n\nPress Ctrl+C to stop.`);
	await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
}

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

/** Exits when the demo is interrupted before the fleet is up. The exit handler kills the child processes. */
function abortStart(): void {
	process.exit(1); // eslint-disable-line unicorn/no-process-exit
}

print('Starting two entries, three engines and two plain services …');
process.on('SIGINT', abortStart).on('SIGTERM', abortStart);
const demo = await createDemoFleet();
process.off('SIGINT', abortStart).off('SIGTERM', abortStart);
try {
	const isEveryResponseCorrect = await printOutcomes(demo);
	if (!isOnce) {
		await waitForInterrupt(demo);
	}

	process.exitCode = isEveryResponseCorrect ? 0 : 1;
} finally {
	await demo.fleet.stop();
}
