import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ServiceSpec} from '../authority/types.js';
import {EntryTopology} from '../topology/entry-topology.js';
import {FleetView} from './fleet-view.js';
import type {ServerNeed} from './types.js';

/** Requests per second that a cold server may get from all entries together. */
const bound = 15.2;

const service: ServiceSpec = {
	name: 's',
	maxConnections: 100,
	coldRequestsPerSecond: 6.8,
	coldMs: 3000,
	engine: undefined,
};

const need: ServerNeed = {
	service: 's',
	model: undefined,
	adapter: undefined,
	session: undefined,
	tokens: 0,
	promptTokens: 0,
	maxPromptWaitMs: 1000,
	tried: new Set(),
};

/** Entries that know each other and have the same list of cold servers. */
function createEntries(count: number): readonly FleetView[] {
	const members = Array.from({length: count}, (_, i) => ({
		id: `entry-${i}`,
		zone: `zone-${i % 3}`,
	}));
	return members.map(member => {
		const topology = EntryTopology.create(member);
		topology.setMembers(members);
		const fleet = FleetView.create({
			zone: member.zone,
			isZoneOut: () => false,
			newestVersion: () => undefined,
			minVersion: () => 0,
			serviceOf: () => service,
			coldBound: () => bound,
			entryCount: () => count,
			entryRank: server => topology.rank(server),
			onNewWant: () => undefined,
		});
		fleet.apply(
			['a', 'b', 'c'].map(id => ({
				id,
				rowVersion: 1,
				record: {
					id,
					service: 's',
					address: id,
					zone: member.zone,
					slots: 64,
					isDraining: false,
					coldLeftMs: 60_000,
					models: [],
				},
			})),
			0,
		);
		return fleet;
	});
}

for (const count of [4, 24, 68]) {
	describe(`cold servers under the requests of ${count} entries`, () => {
		// Guards against entries that outnumber the requests a cold server may get and send it one each (FAILBACK).
		it('get no more requests in a second than the limit, and most of them', () => {
			const entries = createEntries(count);
			const sent = new Map<string, number>();
			for (let now = 0; now < 900; now += 30) {
				for (const fleet of entries) {
					const choice = fleet.choose(need, now);
					if (choice.kind === 'send') {
						const {server} = choice;
						fleet.server(server)!.noteSent(undefined, now);
						sent.set(server, (sent.get(server) ?? 0) + 1);
					}
				}
			}

			const counts = [...sent.values()];
			assert.equal(counts.length, 3);
			assert.ok(Math.max(...counts) <= bound, JSON.stringify(counts));
			assert.ok(Math.min(...counts) >= 0.7 * bound, JSON.stringify(counts));
		});
	});
}
