import {setTimeout as sleep} from 'node:timers/promises';
import {Given, When} from '@cucumber/cucumber';
import type {FleetWorld} from '../support/fleet-world.js';

Given(
	'a fleet of {int} entries, {int} engines and {int} plain services',
	async function (
		this: FleetWorld,
		entries: number,
		engines: number,
		services: number,
	) {
		await this.acquireFleet(entries, engines, services);
		await this.issueAllKeys();
	},
);

Given('the fleet has settled for {int} seconds', async (seconds: number) => {
	await sleep(seconds * 1000);
});

Given(
	'each engine has {int} adapter slots',
	function (this: FleetWorld, slots: number) {
		this.engineFlags.push('--slots', String(slots));
		this.engineEnv.BALSAMTRAY_ADAPTER_SLOTS = String(slots);
	},
);

Given(
	'each engine bears {int} requests at once when it is cold',
	function (this: FleetWorld, count: number) {
		this.engineFlags.push(
			'--cold-bears',
			String(count),
			'--cold-slowness',
			'4',
		);
		this.engineEnv.BALSAMTRAY_COLD_RUNNING = String(count);
	},
);

Given(
	'each token takes {int} ms',
	function (this: FleetWorld, milliseconds: number) {
		this.engineFlags.push('--token-ms', String(milliseconds));
	},
);

Given('engines check fencing numbers', function (this: FleetWorld) {
	this.engineFlags.push('--checks-fencing');
	this.engineEnv.BALSAMTRAY_CHECKS_FENCING = 'true';
});

Given(
	'a call of the plain service takes {int} ms',
	function (this: FleetWorld, milliseconds: number) {
		this.serviceFlags.push('--service-ms', String(milliseconds));
	},
);

When('{int} second(s) pass(es)', async (seconds: number) => {
	await sleep(seconds * 1000);
});
