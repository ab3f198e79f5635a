/**
 * The demo: a fleet of real processes on this machine with the example document and some traffic.
 * With `--once` it checks every answer, stops the fleet and exits 0 or 1; else it stays up until it is interrupted.
 */
import {once} from 'node:events';
import process from 'node:process';
import {createDemoFleet, type DemoFleet} from './demo-fleet.js';
import {runTraffic} from './demo-traffic.js';
import {formatAddresses, formatOutcomes} from './report.js';

const isOnce = process.argv.includes('--once');

async function show(demo: DemoFleet): Promise<boolean> {
	const outcomes = await runTraffic(demo);
	print(formatOutcomes(outcomes));
	return outcomes.every(({sent, right}) => sent === right);
}

async function stayUp(demo: DemoFleet): Promise<void> {
	print(`\n${formatAddresses(demo)}\n\nInterrupt to stop.`);
	await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
}

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

/** Ends the demo when it is interrupted before the fleet is up. The children are ended on exit. */
function abortStart(): void {
	process.exit(1); // eslint-disable-line unicorn/no-process-exit
}

print('Starting two entries, three engines and two plain services …');
process.on('SIGINT', abortStart).on('SIGTERM', abortStart);
const demo = await createDemoFleet();
process.off('SIGINT', abortStart).off('SIGTERM', abortStart);
try {
	const isRight = await show(demo);
	if (!isOnce) {
		await stayUp(demo);
	}

	process.exitCode = isRight ? 0 : 1;
} finally {
	await demo.fleet.stop();
}
