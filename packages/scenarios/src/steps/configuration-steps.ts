import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {parseCompletion} from '../harness/call-result.js';
import {waitUntil} from '../harness/wait-until.js';
import type {TrackedCall} from '../support/tracked-call.js';
import type {FleetWorld} from '../support/fleet-world.js';

const conflictExitCode = 3;
const acceptedExitCode = 0;
const customersByAdapter: ReadonlyMap<string, string> = new Map([
	['salt', 'lakeshore'],
	['mats', 'prairie'],
]);

Then(
	'within {int} seconds each entry runs {string} as {string}',
	async function (
		this: FleetWorld,
		seconds: number,
		adapter: string,
		version: string,
	) {
		await Promise.all(
			this.entryIds.map(async entryId =>
				waitForVersion(this, seconds, {entryId, adapter, version}),
			),
		);
	},
);

Then(
	'within {int} seconds {string} runs {string} as {string}',
	async function (
		this: FleetWorld,
		seconds: number,
		entryId: string,
		adapter: string,
		version: string,
	) {
		await waitForVersion(this, seconds, {entryId, adapter, version});
	},
);

Then(
	'none runs {string} as another version than {string} in the next {int} seconds',
	async function (
		this: FleetWorld,
		adapter: string,
		version: string,
		seconds: number,
	) {
		const until = Date.now() + seconds * 1000;
		while (Date.now() < until) {
			// Each round waits for the previous one.
			// eslint-disable-next-line no-await-in-loop
			const versions = await getVersionsAtAllEntries(this, adapter);
			const served = versions.filter(name => name !== undefined);
			assert.ok(
				served.every(name => name === version),
				`served as ${served.join(', ')}`,
			);
		}
	},
);

Then(
	'within {int} seconds all entries run {string} as the same version',
	async function (this: FleetWorld, seconds: number, adapter: string) {
		await waitUntil(
			'all entries serve the same version',
			seconds * 1000,
			async () => {
				const versions = await getVersionsAtAllEntries(this, adapter);
				return new Set(versions).size === 1 && versions[0] !== undefined;
			},
		);
	},
);

Then(
	"at least one operator's change was accepted",
	function (this: FleetWorld) {
		const codes = this.operatorResults.map(({exitCode}) => exitCode);
		assert.ok(
			codes.includes(acceptedExitCode),
			`exit codes ${codes.join(', ')}`,
		);
	},
);

Then(
	'an operator whose change was not accepted learned of a conflict',
	function (this: FleetWorld) {
		for (const {exitCode, output} of this.operatorResults) {
			if (exitCode !== acceptedExitCode) {
				assert.equal(exitCode, conflictExitCode, output);
				assert.match(
					output,
					/harness/v,
					'the output does not name the operator whose change was accepted',
				);
			}
		}
	},
);

Then("the operator's change was accepted", function (this: FleetWorld) {
	const result = this.operatorResults.at(-1);
	assert.equal(result?.exitCode, acceptedExitCode, result?.output);
});

type ExpectedVersion = {
	readonly entryId: string;
	readonly adapter: string;
	readonly version: string;
};

async function waitForVersion(
	world: FleetWorld,
	seconds: number,
	{entryId, adapter, version}: ExpectedVersion,
): Promise<void> {
	let lastText = 'nothing';
	await waitUntil(
		() =>
			`${entryId} to serve ${adapter} as ${version}; last response: ${lastText}`,
		seconds * 1000,
		async () => {
			const call = await callWithAdapter(world, entryId, adapter);
			lastText = call.result.text;
			return getServedVersion(call) === version;
		},
	);
}

async function callWithAdapter(
	world: FleetWorld,
	entryId: string,
	adapter: string,
): Promise<TrackedCall> {
	const customer = customersByAdapter.get(adapter) ?? 'lakeshore';
	return world.callModel({
		customer,
		model: adapter,
		entryId,
		isStreamed: false,
		maxTokens: 1,
	});
}

/** Returns the adapter version that ran the call. Undefined if the call was refused or failed. */
function getServedVersion({result}: TrackedCall): string | undefined {
	if (result.status !== 200) {
		return undefined;
	}

	const [model] = parseCompletion(result).models;
	return model?.split('@')[1];
}

async function getVersionsAtAllEntries(
	world: FleetWorld,
	adapter: string,
): Promise<ReadonlyArray<string | undefined>> {
	return Promise.all(
		world.entryIds.map(async entryId =>
			getServedVersion(await callWithAdapter(world, entryId, adapter)),
		),
	);
}
