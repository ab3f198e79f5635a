import type {Fleet} from '../harness/fleet.js';
import {scenarioDocument} from './scenario-document.js';

/** Undoes what a scenario did to a fleet: faults, dead and paused processes, operating state, document and records. */
export async function repairFleet(fleet: Fleet): Promise<void> {
	await clearFaults(fleet);
	const daemons = [...fleet.entries, ...fleet.backends].map(
		({daemon}) => daemon,
	);
	await Promise.all(daemons.map(async daemon => daemon.revive()));
	await Promise.all(
		daemons.map(async ({id}) => fleet.setHostState(id, 'live')),
	);
	await fleet.waitUntilReady();
	await restoreConfiguration(fleet);
	await fleet.waitUntilAgreed();
	await forgetRecords(fleet);
}

/** Forgets what the back ends saw. */
export async function forgetRecords(fleet: Fleet): Promise<void> {
	await Promise.all(
		fleet.backends.map(async ({standin}) => standin.clearRecord()),
	);
}

async function clearFaults({platform, backends}: Fleet): Promise<void> {
	const standins = [
		platform.table,
		platform.hosts,
		...backends.map(({standin}) => standin),
	];
	await Promise.all(standins.map(async standin => standin.setFaults({})));
}

async function restoreConfiguration(fleet: Fleet): Promise<void> {
	const operator = fleet.operator();
	// Accepted changes may not have reached this entry yet; a second look is cheap.
	await fleet.waitUntilAgreed();
	await operator.restoreOperatingState();
	if ((await operator.documentDigest()) !== fleet.firstDigest) {
		await fleet.applyDocument(scenarioDocument());
	}
}
