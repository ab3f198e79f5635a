import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import {refusalOf, type CallResult} from '../harness/call-result.js';
import {waitUntil} from '../harness/wait-until.js';
import type {Call} from '../harness/caller.js';
import type {Shown} from '../support/parameter-types.js';
import {newRef, type FleetWorld} from '../support/fleet-world.js';
import {codeOf, isSuccess, type TrackedCall} from '../support/tracked-call.js';

const quietCalls = 20;

Then(
	'within {int} seconds all calls of {string} are refused with {string}',
	async function (
		this: FleetWorld,
		seconds: number,
		customer: string,
		code: string,
	) {
		await waitUntil(`all calls get ${code}`, seconds * 1000, () => {
			const last = trafficOf(this, customer).slice(-quietCalls);
			return (
				last.length === quietCalls && last.every(call => codeOf(call) === code)
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
		const later = this.calls.filter(
			call => call.customer === customer && call.result.sentAt >= from,
		);
		assert.ok(later.length > 0, 'no call was made');
		const succeeded = later.filter(call => isSuccess(call));
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
			// One entry after the other.
			// eslint-disable-next-line no-await-in-loop
			const call = await this.askModel({
				customer,
				model,
				entryId,
				isStreamed: false,
			});
			assert.equal(codeOf(call), code, `at ${entryId}: ${call.result.text}`);
		}
	},
);

Then(
	'a call {who} for the {word} {string} is refused with {string} and did not run',
	async function (
		this: FleetWorld,
		who: Shown,
		kind: string,
		name: string,
		code: string,
	) {
		const {ref, result} = await callAs(this, who, kind, name);
		assert.notEqual(result.status, 200, 'the call succeeded');
		const refusal = refusalOf(result);
		assert.equal(refusal.code, code, result.text);
		assert.ok(refusal.notRun, result.text);
		const truth = await this.groundTruth();
		assert.equal(truth.runsOf(ref), 0, 'the call ran');
	},
);

Then(
	'a call {who} for the {word} {string} succeeds',
	async function (this: FleetWorld, who: Shown, kind: string, name: string) {
		const {ref, result} = await callAs(this, who, kind, name);
		assert.equal(result.status, 200, result.text);
		const truth = await this.groundTruth();
		assert.equal(truth.runsOf(ref), 1, 'the call did not run');
	},
);

When(
	'{string} shows its key also in {place} to models and routes',
	async function (this: FleetWorld, customer: string, place: string) {
		const key = await this.keyOf(customer);
		const caller = this.fleet.caller(this.nextEntry(), key);
		const calls = [
			modelCall('salt', newRef()),
			routeCall('stock-checks', newRef()),
		];
		const results = await Promise.all(
			calls.map(async call => caller.call(withKeyIn(call, place, key))),
		);
		const ran = results.filter(({status}) => status === 200).length;
		const canRefuse = place === 'the body' || place === 'the query';
		assert.ok(
			ran === calls.length || canRefuse,
			results.map(({text}) => text).join('\n'),
		);
	},
);

Then("no back end saw a caller's key", async function (this: FleetWorld) {
	const truth = await this.groundTruth();
	assert.equal(
		truth.total(({keysSeen}) => keysSeen),
		0,
		"a back end saw a caller's key",
	);
});

function trafficOf(
	world: FleetWorld,
	customer: string,
): readonly TrackedCall[] {
	return world.traffic
		.flatMap(({done}) => done)
		.filter(call => call.customer === customer);
}

async function callAs(
	world: FleetWorld,
	who: Shown,
	kind: string,
	name: string,
): Promise<{readonly ref: string; readonly result: CallResult}> {
	const ref = newRef();
	const key =
		who.customer === undefined ? who.key : await world.keyOf(who.customer);
	const caller = world.fleet.caller(world.nextEntry(), key);
	const call = kind === 'model' ? modelCall(name, ref) : routeCall(name, ref);
	return {ref, result: await caller.call(call)};
}

function modelCall(model: string, ref: string): Call {
	return {
		method: 'POST',
		path: '/v1/chat/completions',
		body: {model, messages: [{role: 'user', content: `ref=${ref}`}]},
	};
}

function routeCall(route: string, ref: string): Call {
	return {
		method: 'POST',
		path: `/services/${route}/desk`,
		headers: {'idempotency-key': `order-${ref}`},
		body: {order: `ref=${ref}`},
	};
}

function withKeyIn(call: Call, place: string, key: string): Call {
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
