import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import {parseRefusal, type CallResult} from '../harness/call-result.js';
import {waitUntil} from '../harness/wait-until.js';
import type {Call} from '../harness/caller.js';
import type {PresentedKey} from '../support/parameter-types.js';
import {createRef, type FleetWorld} from '../support/fleet-world.js';
import {
	getRefusalCode,
	isSuccess,
	type TrackedCall,
} from '../support/tracked-call.js';

/** Number of consecutive refused calls after which all calls count as refused. */
const requiredRefusals = 20;

Then(
	'within {int} seconds all calls of {string} are refused with {string}',
	async function (
		this: FleetWorld,
		seconds: number,
		customer: string,
		code: string,
	) {
		await waitUntil(`all calls get ${code}`, seconds * 1000, () => {
			const last = getTrafficCalls(this, customer).slice(-requiredRefusals);
			return (
				last.length === requiredRefusals &&
				last.every(call => getRefusalCode(call) === code)
			);
		});
	},
);

Then(
	'no call of {string} succeeds in the next {int} seconds',
	async function (this: FleetWorld, customer: string, seconds: number) {
		const from = Date.now();
		await sleep(seconds * 1000);
		await this.stopTraffic();
		const laterCalls = this.calls.filter(
			call => call.customer === customer && call.result.sentAt >= from,
		);
		assert.ok(laterCalls.length > 0, 'no call was made');
		const succeeded = laterCalls.filter(call => isSuccess(call));
		assert.equal(succeeded.length, 0, `${succeeded.length} calls succeeded`);
	},
);

Then(
	'calls of {string} for {string} are refused with {string} at each entry',
	async function (
		this: FleetWorld,
		customer: string,
		model: string,
		code: string,
	) {
		for (const entryId of this.entryIds) {
			// Stops at the first entry that fails.
			// eslint-disable-next-line no-await-in-loop
			const call = await this.callModel({
				customer,
				model,
				entryId,
				isStreamed: false,
			});
			assert.equal(
				getRefusalCode(call),
				code,
				`at ${entryId}: ${call.result.text}`,
			);
		}
	},
);

Then(
	'a call {who} for the {word} {string} is refused with {string} and did not run',
	async function (
		this: FleetWorld,
		who: PresentedKey,
		kind: string,
		name: string,
		code: string,
	) {
		const {ref, result} = await callWithKey(this, who, kind, name);
		assert.notEqual(result.status, 200, 'the call succeeded');
		const refusal = parseRefusal(result);
		assert.equal(refusal.code, code, result.text);
		assert.ok(refusal.notRun, result.text);
		const records = await this.readBackendRecords();
		assert.equal(records.countRuns(ref), 0, 'the call ran');
	},
);

Then(
	'a call {who} for the {word} {string} succeeds',
	async function (
		this: FleetWorld,
		who: PresentedKey,
		kind: string,
		name: string,
	) {
		const {ref, result} = await callWithKey(this, who, kind, name);
		assert.equal(result.status, 200, result.text);
		const records = await this.readBackendRecords();
		assert.equal(records.countRuns(ref), 1, 'the call did not run');
	},
);

When(
	'{string} shows its key also in {place} to models and routes',
	async function (this: FleetWorld, customer: string, place: string) {
		const key = await this.getKey(customer);
		const caller = this.fleet.caller(this.pickEntry(), key);
		const calls = [
			createModelCall('salt', createRef()),
			createRouteCall('stock-checks', createRef()),
		];
		const results = await Promise.all(
			calls.map(async call => caller.call(addKeyTo(call, place, key))),
		);
		const successCount = results.filter(({status}) => status === 200).length;
		const canRefuse = place === 'the body' || place === 'the query';
		assert.ok(
			successCount === calls.length || canRefuse,
			results.map(({text}) => text).join('\n'),
		);
	},
);

Then("no back end saw a caller's key", async function (this: FleetWorld) {
	const records = await this.readBackendRecords();
	assert.equal(
		records.sumCounts(({keysSeen}) => keysSeen),
		0,
		"a backend received a caller's key",
	);
});

function getTrafficCalls(
	world: FleetWorld,
	customer: string,
): readonly TrackedCall[] {
	return world.traffic
		.flatMap(({endedCalls}) => endedCalls)
		.filter(call => call.customer === customer);
}

async function callWithKey(
	world: FleetWorld,
	who: PresentedKey,
	kind: string,
	name: string,
): Promise<{readonly ref: string; readonly result: CallResult}> {
	const ref = createRef();
	const key =
		who.customer === undefined ? who.key : await world.getKey(who.customer);
	const caller = world.fleet.caller(world.pickEntry(), key);
	const call =
		kind === 'model' ? createModelCall(name, ref) : createRouteCall(name, ref);
	return {ref, result: await caller.call(call)};
}

function createModelCall(model: string, ref: string): Call {
	return {
		method: 'POST',
		path: '/v1/chat/completions',
		body: {model, messages: [{role: 'user', content: `ref=${ref}`}]},
	};
}

function createRouteCall(route: string, ref: string): Call {
	return {
		method: 'POST',
		path: `/services/${route}/desk`,
		headers: {'idempotency-key': `order-${ref}`},
		body: {order: `ref=${ref}`},
	};
}

function addKeyTo(call: Call, place: string, key: string): Call {
	switch (place) {
		case 'an X-Api-Key': {
			return {...call, headers: {...call.headers, 'x-api-key': key}};
		}

		case 'a cookie': {
			return {...call, headers: {...call.headers, cookie: `key=${key}`}};
		}

		case 'the query': {
			return {...call, path: `${call.path}?api_key=${key}`};
		}

		case 'the body': {
			return {...call, body: {...new Object(call.body), user: key}};
		}

		default: {
			return call;
		}
	}
}
