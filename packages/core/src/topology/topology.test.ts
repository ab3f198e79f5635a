import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	extraLinks,
	maxZoneChildren,
	ownerCandidates,
	streamCandidates,
} from './constants.js';
import {EntryTopology} from './entry-topology.js';
import {msUntilRead} from './read-duty.js';
import type {Member} from './types.js';

const nobodyIsLost = () => false;

function membersOf(count: number, zones: number): readonly Member[] {
	return Array.from({length: count}, (_, i) => ({
		id: `entry-${i}`,
		zone: `zone-${i % zones}`,
	}));
}

function topologiesOf(
	members: readonly Member[],
): ReadonlyMap<string, EntryTopology> {
	return new Map(
		members.map(member => {
			const topology = EntryTopology.create(member);
			topology.setMembers(members);
			return [member.id, topology];
		}),
	);
}

const fleets = [
	{count: 1, zones: 1},
	{count: 5, zones: 3},
	{count: 30, zones: 3},
	{count: 68, zones: 5},
	{count: 300, zones: 5},
	{count: 2000, zones: 15},
];

describe('EntryTopology', () => {
	for (const {count, zones} of fleets) {
		describe(`with ${count} entries in ${zones} zones`, () => {
			const members = membersOf(count, zones);
			const topologies = topologiesOf(members);

			it('has one root in each zone', () => {
				const roots = members.filter(({id}) =>
					topologies.get(id)!.isRoot(nobodyIsLost),
				);
				assert.equal(new Set(roots.map(({zone}) => zone)).size, roots.length);
				assert.equal(roots.length, Math.min(zones, count));
			});

			it('gives no entry more children and links than its bounds', () => {
				const children = new Map<string, number>();
				for (const [id, topology] of topologies) {
					const parent = topology.parent(nobodyIsLost);
					if (parent !== undefined) {
						children.set(parent, (children.get(parent) ?? 0) + 1);
						const links = topology.links([], nobodyIsLost);
						assert.ok(links.size <= 1 + extraLinks, id);
					}
				}

				assert.ok([...children.values()].every(n => n <= maxZoneChildren));
			});

			it('has exactly one relay for each server in each zone', () => {
				const zoneMembers = members.filter(({zone}) => zone === 'zone-0');
				for (let i = 0; i < 20; i++) {
					const relays = zoneMembers.filter(({id}) =>
						topologies.get(id)!.isRelay(`server-${i}`, nobodyIsLost),
					);
					assert.equal(relays.length, 1);
				}
			});
		});
	}

	it('leads from each entry to a root, whichever entries are lost', () => {
		fc.assert(
			fc.property(
				fc.integer({min: 1, max: 120}),
				fc.integer({min: 1, max: 4}),
				fc.array(fc.nat(119), {maxLength: 60}),
				(count, zones, lostIndexes) => {
					const members = membersOf(count, zones);
					const topologies = topologiesOf(members);
					const lost = new Set(lostIndexes.map(i => `entry-${i}`));
					const isLost = (id: string) => lost.has(id);
					for (const {id} of members.filter(member => !isLost(member.id))) {
						let at = id;
						for (let hops = 0; ; hops++) {
							const parent = topologies.get(at)!.parent(isLost);
							if (parent === undefined) {
								break;
							}

							assert.ok(!isLost(parent));
							assert.ok(hops < 3);
							at = parent;
						}
					}
				},
			),
			{numRuns: 50},
		);
	});

	it('moves to the next root when the root is lost, and still probes the lost one', () => {
		const members = membersOf(10, 1);
		const topologies = topologiesOf(members);
		const root = members.find(({id}) =>
			topologies.get(id)!.isRoot(nobodyIsLost),
		)!.id;
		const others = members.filter(({id}) => id !== root);
		const isLost = (id: string) => id === root;
		const roots = others.filter(({id}) => topologies.get(id)!.isRoot(isLost));
		assert.equal(roots.length, 1);
		for (const {id} of others) {
			assert.deepEqual(topologies.get(id)!.lostLinks(isLost), [root]);
		}
	});
});

describe('OwnerOrder', () => {
	it('puts the first candidates into different zones, the same at all entries', () => {
		const members = membersOf(68, 5);
		const topologies = [...topologiesOf(members).values()];
		const zoneOf = new Map(members.map(({id, zone}) => [id, zone]));
		for (let i = 0; i < 50; i++) {
			const customer = `customer-${i}`;
			const candidates = topologies[0]!.ownerCandidates(customer);
			assert.equal(candidates.length, ownerCandidates);
			assert.equal(
				new Set(candidates.map(id => zoneOf.get(id))).size,
				ownerCandidates,
			);
			for (const topology of topologies) {
				assert.deepEqual(topology.ownerCandidates(customer), candidates);
			}
		}
	});

	it('has the same candidates for a stream at all entries, in different zones, few of which change with a member', () => {
		const members = membersOf(68, 5);
		const topologies = [...topologiesOf(members).values()];
		const zoneOf = new Map(members.map(({id, zone}) => [id, zone]));
		const grown = EntryTopology.create(members[0]!);
		grown.setMembers([...members, {id: 'new', zone: 'zone-3'}]);
		for (let i = 0; i < 50; i++) {
			const candidates = topologies[0]!.streamCandidates(`stream-${i}`);
			assert.equal(new Set(candidates).size, streamCandidates);
			const zones = candidates.slice(0, 5).map(id => zoneOf.get(id));
			assert.equal(new Set(zones).size, 5);
			for (const topology of topologies) {
				assert.deepEqual(topology.streamCandidates(`stream-${i}`), candidates);
			}

			const after = grown.streamCandidates(`stream-${i}`);
			assert.ok(candidates.filter(id => !after.includes(id)).length <= 1);
		}
	});

	it('has all entries of a small fleet as candidates for a stream', () => {
		const [topology] = topologiesOf(membersOf(4, 1)).values();
		assert.equal(new Set(topology!.streamCandidates('stream')).size, 4);
	});

	it('links the candidates of a customer with each other', () => {
		const members = membersOf(30, 3);
		const topologies = topologiesOf(members);
		const candidates = topologies.get('entry-0')!.ownerCandidates('customer');
		for (const id of candidates) {
			const links = topologies.get(id)!.links(['customer'], nobodyIsLost);
			assert.ok(candidates.every(other => other === id || links.has(other)));
		}
	});
});

describe('msUntilRead', () => {
	const duty = {isRoot: false, confirmedAt: 100, maxAgeMs: 1000, shiftMs: 50};

	it('lets the root read at any time', () => {
		assert.ok(msUntilRead({...duty, isRoot: true}, 100) <= 0);
	});

	it('lets another entry read only when its rows are too old', () => {
		assert.equal(msUntilRead(duty, 100), 1050);
		assert.ok(msUntilRead(duty, 1150) <= 0);
		assert.ok(
			msUntilRead({...duty, confirmedAt: Number.NEGATIVE_INFINITY}, 0) <= 0,
		);
	});
});
