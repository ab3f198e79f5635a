import type {Fleet} from '../harness/fleet.js';
import {createScenarioDocument} from './scenario-document.js';

/**
 * Resets a fleet after a scenario: faults, crashed and paused processes, host states, zones and servers taken out,
 * document and backend records.
 */
export async function resetFleet(fleet: Fleet): Promise<void> {
	await clearFaults(fleet);
	const daemons = [...fleet.entries, ...fleet.backends].map(
		({daemon}) => daemon,
	);
	await Promise.all(daemons.map(async daemon => daemon.ensureRunning()));
	await Promise.all(
		daemons.map(async ({id}) => fleet.setHostState(id, 'live')),
	);
	await fleet.waitUntilReady();
	await restoreConfiguration(fleet);
	await fleet.waitUntilConfigConverged();
	await clearRecords(fleet);
}

/** Clears the records of all backends. */
export async function clearRecords(fleet: Fleet): Promise<void> {
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
	// An accepted change may not have reached this entry yet.
	await fleet.waitUntilConfigConverged();
	await operator.restoreOperatingState();
	if ((await operator.documentDigest()) !== fleet.initialDocumentDigest) {
		await fleet.applyDocument(createScenarioDocument());
	}
}
