import {When} from '@cucumber/cucumber';
import type {FleetWorld} from '../support/fleet-world.js';
import {
	scenarioDocument,
	type CurrentVersions,
} from '../support/scenario-document.js';

When(
	'an operator makes {string} the current version of {string} at {string}',
	async function (
		this: FleetWorld,
		version: string,
		adapter: string,
		entryId: string,
	) {
		await applyVersions(this, {[adapter]: version}, entryId);
	},
);

When(
	'an operator applies the first document again at {string}',
	async function (this: FleetWorld, entryId: string) {
		await applyVersions(this, {}, entryId);
	},
);

When(
	'two operators make {string} and {string} the current version of {string} at once',
	async function (
		this: FleetWorld,
		first: string,
		second: string,
		adapter: string,
	) {
		const [firstEntry = '', secondEntry = ''] = this.entryIds;
		await Promise.all([
			// The second also changes another adapter, so that both change something.
			applyVersions(this, {[adapter]: first}, firstEntry),
			applyVersions(this, {[adapter]: second, shared: 'v2'}, secondEntry),
		]);
	},
);

When(
	'an operator withdraws the key of {string} at {string}',
	async function (this: FleetWorld, customer: string, entryId: string) {
		const keyId = await this.keyIdOf(customer);
		this.withdrawnCustomers.push(customer);
		await this.operate(entryId, 'key', 'withdraw', keyId, '--yes', '--json');
	},
);

When(
	'an operator takes the zone {string} out at {string}',
	async function (this: FleetWorld, zone: string, entryId: string) {
		// A zone that comes back gets its full share of work only after a while.
		this.isFleetLost = true;
		await this.operate(entryId, 'zone', 'out', zone, '--yes', '--json');
	},
);

When(
	'an operator brings the zone {string} in at {string}',
	async function (this: FleetWorld, zone: string, entryId: string) {
		await this.operate(entryId, 'zone', 'in', zone, '--yes', '--json');
	},
);

When(
	'an operator drains {string} at {string}',
	async function (this: FleetWorld, server: string, entryId: string) {
		this.isFleetLost = true;
		await this.operate(entryId, 'server', 'drain', server, '--yes', '--json');
	},
);

async function applyVersions(
	world: FleetWorld,
	current: CurrentVersions,
	entryId: string,
): Promise<void> {
	const file = await world.fleet.writeFile(
		`${entryId}-${world.operatorResults.length}.yaml`,
		scenarioDocument(current),
	);
	await world.operate(entryId, 'config', 'apply', file, '--yes', '--json');
	world.currentVersions = current;
}
