/**
 * The demo: a fleet of real processes on this machine with the example document and some traffic.
 * With `--once` it checks every answer, stops the fleet and exits 0 or 1; else it stays up until it is interrupted.
 */
import {once} from 'node:events';
import process from 'node:process';
import {createDemoFleet, type DemoFleet} from './demo-fleet.js';
import {runTraffic} from './demo-traffic.js';
import {formatAddresses, formatOutcomes} from './report.js';

const interrupted = Promise.race([
	once(process, 'SIGINT'),
	once(process, 'SIGTERM'),
]);
const isOnce = process.argv.includes('--once');

async function show(demo: DemoFleet): Promise<boolean> {
	const outcomes = await runTraffic(demo);
	print(formatOutcomes(outcomes));
	return outcomes.every(({sent, right}) => sent === right);
}

async function stayUp(demo: DemoFleet): Promise<void> {
	print(`\n${formatAddresses(demo)}\n\nInterrupt to stop.`);
	await interrupted;
}

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

/** Ends the demo when it is interrupted before the fleet is up. */
async function abortStart(start: AbortSignal): Promise<void> {
	await interrupted;
	if (!start.aborted) {
		// The children are ended on exit.
		process.exit(1); // eslint-disable-line unicorn/no-process-exit
	}
}

print('Starting two entries, three engines and two plain services …');
const started = new AbortController();
void abortStart(started.signal);
const demo = await createDemoFleet();
started.abort();
try {
	const isRight = await show(demo);
	if (!isOnce) {
		await stayUp(demo);
	}

	process.exitCode = isRight ? 0 : 1;
} finally {
	await demo.fleet.stop();
}
