import {When} from '@cucumber/cucumber';
import type {FleetWorld} from '../support/fleet-world.js';
import {
	createScenarioDocument,
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
			// The second document also changes another adapter, so both documents differ from the current one.
			applyVersions(this, {[adapter]: first}, firstEntry),
			applyVersions(this, {[adapter]: second, shared: 'v2'}, secondEntry),
		]);
	},
);

When(
	'an operator withdraws the key of {string} at {string}',
	async function (this: FleetWorld, customer: string, entryId: string) {
		const keyId = await this.getKeyId(customer);
		this.customersWithWithdrawnKey.push(customer);
		await this.runOperatorCommand(
			entryId,
			'key',
			'withdraw',
			keyId,
			'--yes',
			'--json',
		);
	},
);

When(
	'an operator takes the zone {string} out at {string}',
	async function (this: FleetWorld, zone: string, entryId: string) {
		// After a zone comes back in, its share of requests grows only gradually.
		this.shouldDiscardFleet = true;
		await this.runOperatorCommand(
			entryId,
			'zone',
			'out',
			zone,
			'--yes',
			'--json',
		);
	},
);

When(
	'an operator brings the zone {string} in at {string}',
	async function (this: FleetWorld, zone: string, entryId: string) {
		await this.runOperatorCommand(
			entryId,
			'zone',
			'in',
			zone,
			'--yes',
			'--json',
		);
	},
);

When(
	'an operator drains {string} at {string}',
	async function (this: FleetWorld, server: string, entryId: string) {
		this.shouldDiscardFleet = true;
		await this.runOperatorCommand(
			entryId,
			'server',
			'drain',
			server,
			'--yes',
			'--json',
		);
	},
);

When(
	'an operator undrains {string} at {string}',
	async function (this: FleetWorld, server: string, entryId: string) {
		await this.runOperatorCommand(
			entryId,
			'server',
			'undrain',
			server,
			'--yes',
			'--json',
		);
	},
);

async function applyVersions(
	world: FleetWorld,
	current: CurrentVersions,
	entryId: string,
): Promise<void> {
	const file = await world.fleet.writeFile(
		`${entryId}-${world.operatorResults.length}.yaml`,
		createScenarioDocument(current),
	);
	await world.runOperatorCommand(
		entryId,
		'config',
		'apply',
		file,
		'--yes',
		'--json',
	);
	world.currentVersions = current;
}
