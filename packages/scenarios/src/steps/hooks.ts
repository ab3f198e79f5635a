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
const mostLinesShown = 15;

const pool = FleetPool.create();

setWorldConstructor(FleetWorld);
setDefaultTimeout(stepTimeoutMs);

Before(function (this: FleetWorld) {
	this.pool = pool;
});

After(async function (this: FleetWorld, {result}) {
	await this.stopTraffic();
	for (const child of this.extraChildren) {
		// Few children, ended one after the other.
		// eslint-disable-next-line no-await-in-loop
		await child.stop();
	}

	for (const customer of this.withdrawnCustomers) {
		this.forgetKey(customer);
	}

	const isFailed = result?.status !== Status.PASSED;
	if (isFailed && this.hasFleet) {
		this.attach(lastWordsOf(this), 'text/plain');
	}

	if (isFailed || this.isFleetLost) {
		await pool.discard();
	} else if (this.hasFleet) {
		await pool.repair();
	}
});

AfterAll(async () => {
	await pool.discard();
});

/** Last output of each process of the fleet, to explain a failure. */
function lastWordsOf(world: FleetWorld): string {
	const {entries, backends} = world.fleet;
	return [...entries, ...backends]
		.map(({daemon}) => {
			const lines = daemon.child.lines.slice(-mostLinesShown);
			return [`== ${daemon.id}`, ...lines].join('\n');
		})
		.join('\n');
}
