import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Then} from '@cucumber/cucumber';
import {waitUntil} from '../harness/wait-until.js';
import type {FleetWorld} from '../support/fleet-world.js';

/** Requests that were on their way when the window began. */
const graceMs = 200;

Then(
	'the back end {string} begins nothing in the next {int} seconds',
	async function (this: FleetWorld, id: string, seconds: number) {
		const from = Date.now() + graceMs;
		await sleep(graceMs + seconds * 1000);
		const {requests} = await this.fleet.backend(id).standin.record();
		const begun = requests.filter(({beganAt}) => beganAt >= from);
		assert.equal(begun.length, 0, `${id} began ${begun.length} requests`);
	},
);

Then(
	'within {int} seconds the back end {string} begins work',
	async function (this: FleetWorld, seconds: number, id: string) {
		const from = Date.now();
		await waitUntil(`${id} begins work`, seconds * 1000, async () => {
			const {requests} = await this.fleet.backend(id).standin.record();
			return requests.some(({beganAt}) => beganAt >= from);
		});
	},
);

Then('no engine got more than it bore', async function (this: FleetWorld) {
	const truth = await this.groundTruth();
	assert.equal(
		truth.total(({overruns}) => overruns),
		0,
		'a cold engine was overrun',
	);
});

Then(
	'within {int} seconds the engine of {string} gets no more than it bears',
	async function (this: FleetWorld, seconds: number, id: string) {
		const {standin} = this.fleet.backend(id);
		let last = await standin.record();
		await waitUntil(`${id} is spared`, seconds * 1000, async () => {
			await sleep(500);
			const now = await standin.record();
			const isSpared = now.overruns === last.overruns;
			const isWorking = now.completed > last.completed;
			last = now;
			return isSpared && isWorking;
		});
	},
);

Then(
	'no adapter was unloaded while it was in use',
	async function (this: FleetWorld) {
		const truth = await this.groundTruth();
		assert.equal(
			truth.total(({evictionsInUse}) => evictionsInUse),
			0,
			'an adapter in use was unloaded',
		);
	},
);

Then(
	'the engines crashed at most {int} times',
	async function (this: FleetWorld, most: number) {
		const truth = await this.groundTruth();
		const crashes = truth.total(record => record.crashes);
		assert.ok(crashes <= most, `the engines crashed ${crashes} times`);
	},
);

Then(
	'the process {string} ended with code {int} within {int} seconds',
	async function (this: FleetWorld, id: string, code: number, seconds: number) {
		const {child} = this.daemon(id);
		await waitUntil(`${id} ends`, seconds * 1000, () => !child.isRunning);
		const exit = await child.exited;
		assert.equal(exit.code, code, child.lines.slice(-10).join('\n'));
	},
);

Then('the second agent ends with an error', async function (this: FleetWorld) {
	const [second] = this.extraChildren;
	assert.ok(second);
	await waitUntil('the second agent ends', 10_000, () => !second.isRunning);
	const exit = await second.exited;
	assert.notEqual(exit.code, 0);
});
