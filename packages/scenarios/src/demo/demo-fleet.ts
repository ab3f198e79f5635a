import {Fleet} from '../harness/fleet.js';
import type {FleetPlan} from '../harness/fleet-options.js';
import type {IssuedKey} from '../harness/operator.js';
import {
	exampleBaseModel,
	exampleCustomers,
	createExampleDocument,
	exampleService,
} from './example-document.js';

/** The demo's fleet and an API key for each customer. */
export type DemoFleet = {
	readonly fleet: Fleet;
	readonly lakeshoreKey: IssuedKey;
	readonly prairieKey: IssuedKey;
};

const zones = ['zone-a', 'zone-b', 'zone-c'];

/** Two entries in two zones, an engine in each of three zones, and two servers of the order desk service. */
const plan: FleetPlan = {
	hasWeightStore: true,
	entries: [
		{id: 'entry-a', zone: 'zone-a'},
		{id: 'entry-b', zone: 'zone-b'},
	],
	backends: [
		...zones.map(zone => ({
			id: `engine-${zone}`,
			zone,
			backend: {kind: 'engine', baseModel: exampleBaseModel} as const,
		})),
		...zones.slice(0, 2).map(zone => ({
			id: `desk-${zone}`,
			zone,
			backend: {kind: 'service', service: exampleService} as const,
		})),
	],
};

/** Starts the demo's fleet, applies the example document and issues the keys. */
export async function createDemoFleet(): Promise<DemoFleet> {
	const fleet = await Fleet.create(plan);
	try {
		await fleet.applyDocument(createExampleDocument());
		const lakeshoreKey = await fleet.issueKey(exampleCustomers.lakeshore);
		const prairieKey = await fleet.issueKey(exampleCustomers.prairie);
		// A new key takes effect at the other entries only after a short time.
		await fleet.waitUntilConfigConverged();
		return {fleet, lakeshoreKey, prairieKey};
	} catch (error) {
		await fleet.stop();
		throw error;
	}
}
