import {
	After,
	AfterAll,
	Before,
	setDefaultTimeout,
	Status,
	setWorldConstructor,
} from '@cucumber/cucumber';
import {FleetPool} from '../support/fleet-pool.js';
import {FleetWorld} from '../support/fleet-world.js';

const stepTimeoutMs = 60_000;
const maxLinesShown = 15;

const pool = FleetPool.create();

setWorldConstructor(FleetWorld);
setDefaultTimeout(stepTimeoutMs);

Before(function (this: FleetWorld) {
	this.pool = pool;
});

After(async function (this: FleetWorld, {result}) {
	await this.stopTraffic();
	for (const child of this.extraChildren) {
		// A scenario starts few extra children, so stopping them one by one is fast enough.
		// eslint-disable-next-line no-await-in-loop
		await child.stop();
	}

	for (const customer of this.customersWithWithdrawnKey) {
		this.forgetKey(customer);
	}

	const isFailed = result?.status !== Status.PASSED;
	if (isFailed && this.hasFleet) {
		this.attach(getLastOutput(this), 'text/plain');
	}

	if (isFailed || this.shouldDiscardFleet) {
		await pool.discard();
	} else if (this.hasFleet) {
		await pool.reset();
	}
});

AfterAll(async () => {
	await pool.discard();
});

/** Returns the last output lines of each daemon of the fleet, to diagnose a failure. */
function getLastOutput(world: FleetWorld): string {
	const {entries, backends} = world.fleet;
	return [...entries, ...backends]
		.map(({daemon}) => {
			const lines = daemon.child.lines.slice(-maxLinesShown);
			return [`== ${daemon.id}`, ...lines].join('\n');
		})
		.join('\n');
}
