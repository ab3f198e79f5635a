import assert from 'node:assert/strict';
import {Given, When} from '@cucumber/cucumber';
import type {EngineFaults} from '@balsamtray/standins';
import type {FleetBackend} from '../harness/fleet.js';
import {waitUntil} from '../harness/wait-until.js';
import type {FleetWorld} from '../support/fleet-world.js';

const findTimeoutMs = 5000;

When(
	'the entry/agent {string} is killed',
	async function (this: FleetWorld, id: string) {
		await this.daemon(id).kill();
	},
);

When(
	'the entry/agent {string} starts again',
	async function (this: FleetWorld, id: string) {
		await this.daemon(id).restart();
	},
);

When(
	'the entry/agent {string} is paused',
	function (this: FleetWorld, id: string) {
		this.daemon(id).pause();
	},
);

When(
	'the entry/agent {string} runs again',
	function (this: FleetWorld, id: string) {
		this.daemon(id).resume();
	},
);

When(
	'the entry/agent {string} is told to stop',
	function (this: FleetWorld, id: string) {
		this.daemon(id).requestStop();
	},
);

When(
	'a second agent is started on the slot of {string}',
	function (this: FleetWorld, id: string) {
		this.shouldDiscardFleet = true;
		this.extraChildren.push(this.daemon(id).spawnProcess());
	},
);

When(
	'the table service is {word}',
	async function (this: FleetWorld, state: string) {
		await this.fleet.platform.table.setFaults({isDown: state === 'down'});
	},
);

When('the host list is down', async function (this: FleetWorld) {
	await this.fleet.platform.hosts.setFaults({isDown: true});
});

When(
	'the table service loses its next {int} answers',
	async function (this: FleetWorld, loseNextAnswers: number) {
		await this.fleet.platform.table.setFaults({loseNextAnswers});
	},
);

When(
	'the table service loses {int} percent of its answers',
	async function (this: FleetWorld, percent: number) {
		await this.fleet.platform.table.setFaults({
			loseAnswerShare: percent / 100,
		});
	},
);

When(
	'the table service takes {int} ms for each answer',
	async function (this: FleetWorld, delayMs: number) {
		await this.fleet.platform.table.setFaults({delayMs});
	},
);

When(
	'the platform lists {string} as leaving',
	async function (this: FleetWorld, id: string) {
		// After a server comes back, its share of requests grows only gradually.
		this.shouldDiscardFleet = true;
		await this.fleet.setHostState(id, 'leaving');
	},
);

Given(
	'each plain service loses its next {int} answers',
	async function (this: FleetWorld, loseNextAnswers: number) {
		await addFaultsToAll(this, this.serviceBackends, {loseNextAnswers});
	},
);

Given(
	'a plain service crashes on an order with the text {string}',
	async function (this: FleetWorld, crashMarker: string) {
		// Requests that ran when a backend server crashed remain suspects after the scenario.
		this.shouldDiscardFleet = true;
		await addFaultsToAll(this, this.serviceBackends, {crashMarker});
	},
);

Given(
	'an engine crashes on a request with the text {string}',
	async function (this: FleetWorld, crashMarker: string) {
		this.shouldDiscardFleet = true;
		await addFaultsToAll(this, this.engineBackends, {crashMarker});
	},
);

Given(
	'each engine crosses its next {int} pairs of answers',
	async function (this: FleetWorld, crossAnswers: number) {
		await addFaultsToAll(this, this.engineBackends, {crossAnswers});
	},
);

Given(
	'each engine sends its next {int} answers late',
	async function (this: FleetWorld, lateAnswers: number) {
		await addFaultsToAll(this, this.engineBackends, {lateAnswers});
	},
);

Given(
	'each engine cuts its next {int} answers after {int} tokens',
	async function (
		this: FleetWorld,
		cutAnswers: number,
		cutAfterTokens: number,
	) {
		await addFaultsToAll(this, this.engineBackends, {
			cutAnswers,
			cutAfterTokens,
		});
	},
);

Given(
	'the engine of {string} cuts its next {int} answers after {int} tokens',
	async function (
		this: FleetWorld,
		id: string,
		cutAnswers: number,
		cutAfterTokens: number,
	) {
		const backend = this.fleet.backend(id);
		await this.addFaults(backend, {cutAnswers, cutAfterTokens});
	},
);

Given(
	'each engine fails its next {int} adapter loads',
	async function (this: FleetWorld, failLoads: number) {
		await addFaultsToAll(this, this.engineBackends, {failLoads});
	},
);

When(
	'the engine of {string} starts anew',
	async function (this: FleetWorld, id: string) {
		await this.fleet.backend(id).standin.sendControlOrder({order: 'restart'});
	},
);

When(
	'the engine of {string} turns cold without a word',
	async function (this: FleetWorld, id: string) {
		await this.fleet.backend(id).standin.sendControlOrder({order: 'goCold'});
	},
);

When(
	'the engine/service of {string} crashes for {int} ms',
	async function (this: FleetWorld, id: string, downMs: number) {
		await this.fleet
			.backend(id)
			.standin.sendControlOrder({order: 'crash', downMs});
	},
);

When('an engine that runs requests crashes', async function (this: FleetWorld) {
	const backend = await findBackend(this, this.engineBackends, isBusy);
	await backend.standin.sendControlOrder({order: 'crash', downMs: 500});
});

When(
	'the agent that runs the order {string} is killed',
	async function (this: FleetWorld, label: string) {
		const ref = this.getLabelledRef(label);
		const backend = await findBackend(
			this,
			this.serviceBackends,
			async desk => {
				const {runsByRef} = await desk.standin.record();
				return (runsByRef[ref] ?? 0) > 0;
			},
		);
		await backend.daemon.kill();
	},
);

When(
	'the order {string} runs',
	async function (this: FleetWorld, label: string) {
		const ref = this.getLabelledRef(label);
		await waitUntil(`order "${label}" runs`, findTimeoutMs, async () => {
			const records = await this.readBackendRecords();
			return records.countRuns(ref) > 0;
		});
	},
);

async function addFaultsToAll(
	world: FleetWorld,
	backends: readonly FleetBackend[],
	faults: EngineFaults,
): Promise<void> {
	await Promise.all(
		backends.map(async backend => world.addFaults(backend, faults)),
	);
}

async function isBusy({standin}: FleetBackend): Promise<boolean> {
	const {requests, completed, cancelled} = await standin.record();
	return requests.length > completed + cancelled;
}

/** Waits until a backend meets the condition and returns it. */
async function findBackend(
	world: FleetWorld,
	backends: readonly FleetBackend[],
	isMatch: (backend: FleetBackend) => Promise<boolean>,
): Promise<FleetBackend> {
	let match: FleetBackend | undefined;
	await waitUntil('a backend runs the requests', findTimeoutMs, async () => {
		const states = await Promise.all(
			backends.map(async backend => isMatch(backend)),
		);
		match = backends[states.indexOf(true)];
		return match !== undefined;
	});
	assert.ok(match, `no backend behind ${world.entryIds.join(', ')} matched`);
	return match;
}
