import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Then} from '@cucumber/cucumber';
import {waitUntil} from '../harness/wait-until.js';
import type {FleetWorld} from '../support/fleet-world.js';

/** Time for requests in flight at the start of the window to arrive. */
const inFlightGraceMs = 200;

Then(
	'the back end {string} begins nothing in the next {int} seconds',
	async function (this: FleetWorld, id: string, seconds: number) {
		const from = Date.now() + inFlightGraceMs;
		await sleep(inFlightGraceMs + seconds * 1000);
		const {requests} = await this.fleet.backend(id).standin.record();
		const startedRequests = requests.filter(({beganAt}) => beganAt >= from);
		assert.equal(
			startedRequests.length,
			0,
			`${id} started ${startedRequests.length} requests`,
		);
	},
);

Then(
	'within {int} seconds the back end {string} begins work',
	async function (this: FleetWorld, seconds: number, id: string) {
		const from = Date.now();
		await waitUntil(`${id} starts a request`, seconds * 1000, async () => {
			const {requests} = await this.fleet.backend(id).standin.record();
			return requests.some(({beganAt}) => beganAt >= from);
		});
	},
);

Then('no engine got more than it bore', async function (this: FleetWorld) {
	const records = await this.readBackendRecords();
	assert.equal(
		records.sumCounts(({overruns}) => overruns),
		0,
		'a cold engine got more requests than it can run at once',
	);
});

Then(
	'within {int} seconds the engine of {string} gets no more than it bears',
	async function (this: FleetWorld, seconds: number, id: string) {
		const {standin} = this.fleet.backend(id);
		let last = await standin.record();
		await waitUntil(
			`${id} gets no more than it can run`,
			seconds * 1000,
			async () => {
				await sleep(500);
				const now = await standin.record();
				const isWithinCapacity = now.overruns === last.overruns;
				const isWorking = now.completed > last.completed;
				last = now;
				return isWithinCapacity && isWorking;
			},
		);
	},
);

Then(
	'no adapter was unloaded while it was in use',
	async function (this: FleetWorld) {
		const records = await this.readBackendRecords();
		assert.equal(
			records.sumCounts(({evictionsInUse}) => evictionsInUse),
			0,
			'an adapter in use was unloaded',
		);
	},
);

Then(
	'the engines crashed at most {int} times',
	async function (this: FleetWorld, maxCrashes: number) {
		const records = await this.readBackendRecords();
		const crashes = records.sumCounts(record => record.crashes);
		assert.ok(crashes <= maxCrashes, `the engines crashed ${crashes} times`);
	},
);

Then(
	'the process {string} ended with code {int} within {int} seconds',
	async function (this: FleetWorld, id: string, code: number, seconds: number) {
		const {child} = this.daemon(id);
		await waitUntil(`${id} exits`, seconds * 1000, () => !child.isRunning);
		const exit = await child.exited;
		assert.equal(exit.code, code, child.lines.slice(-10).join('\n'));
	},
);

Then('the second agent ends with an error', async function (this: FleetWorld) {
	const [second] = this.extraChildren;
	assert.ok(second);
	await waitUntil('the second agent exits', 10_000, () => !second.isRunning);
	const exit = await second.exited;
	assert.notEqual(exit.code, 0);
});
