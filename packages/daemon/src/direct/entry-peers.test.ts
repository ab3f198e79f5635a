import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	createRandom,
	QuotaLedger,
	type CustomerRule,
	type StoreVersion,
} from '@balsamtray/core';
import type {EntryHeartbeat, GossipMessage} from '@balsamtray/protocol';
import {heartbeatIntervalMs, peerTimeoutMs} from './constants.js';
import {EntryPeers} from './entry-peers.js';
import type {Endpoint} from './types.js';

const customers: readonly CustomerRule[] = Array.from({length: 20}, (_, i) => ({
	name: `customer-${i}`,
	keys: [],
	isMeteredInTokens: false,
	plainTokens: 1,
	unitsPerSecond: 10,
	burstUnits: 20,
	priority: 0,
}));

const endpointOf = (id: string): Endpoint => ({host: id, port: 1});

const heartbeatOf = (from: string): EntryHeartbeat => ({
	type: 'entry',
	from,
	sentAt: 0,
	authorityVersion: 0,
	isServing: true,
	levels: [],
});

const random = createRandom(1);
let now: number;
let sent: Array<{readonly message: GossipMessage; readonly to: string}>;

let known: StoreVersion;
let served: StoreVersion;
let heardEra: number;
let fetches: string[];
let proofs: Array<{readonly provenAt: number; readonly era: number}>;

function createPeers(hostId: string): EntryPeers {
	return EntryPeers.create({
		hostId,
		zone: '',
		endpoint: endpointOf(hostId),
		clock: () => now,
		random,
		epoch: () => 0,
		ledger: QuotaLedger.create({
			isFirstStart: true,
			slackUnits: () => 0,
			now: 0,
		}),
		send(message, {host}) {
			sent.push({message, to: host});
		},
		authorityVersion: () => known,
		settledEra: () => 0,
		storeEra: () => Math.max(known.era, heardEra),
		onEra(era) {
			heardEra = Math.max(heardEra, era);
		},
		isServing: () => true,
		provenAt: () => 0,
		customers: () => customers.map(({name}) => name),
		tables: () => ({}),
		onTables: () => undefined,
		onRootChanged: () => undefined,
		onProof(provenAt, _epoch, era) {
			proofs.push({provenAt, era});
		},
		async fetchStatements({host}) {
			fetches.push(host);
			return [];
		},
		onStatements() {
			known = served;
		},
		quarantine: () => '',
		onQuarantine: () => undefined,
		quarantinedRequests: () => '',
		onQuarantinedRequests: () => undefined,
		maxCutServingMs: () => 5000,
		onQueryEnded: () => undefined,
		onLost: () => undefined,
		onRegained: () => undefined,
		onError: () => undefined,
	});
}

function ownedCount(peers: EntryPeers): number {
	return customers.filter(({name}) => peers.isOwner(name)).length;
}

describe('EntryPeers', () => {
	beforeEach(() => {
		now = 0;
		sent = [];
		known = {era: 0, version: 0};
		served = known;
		heardEra = 0;
		fetches = [];
		proofs = [];
	});

	describe('entries that start concurrently', () => {
		it('know each other once the later one has read the members table', () => {
			const first = createPeers('a');
			const second = createPeers('b');
			first.noteListed();
			first.setMembers([{id: 'a', endpoint: endpointOf('a')}], true);
			assert.equal(ownedCount(first), customers.length);
			second.noteListed();
			second.setMembers(
				['a', 'b'].map(id => ({id, endpoint: endpointOf(id)})),
				true,
			);
			assert.deepEqual(
				sent.map(({message: {type}, to}) => ({type, to})),
				[{type: 'entry', to: 'a'}],
			);
			first.onHeartbeat(heartbeatOf('b'), endpointOf('b'));
			second.onHeartbeat(heartbeatOf('a'), endpointOf('a'));
			for (const {name} of customers) {
				assert.notEqual(first.isOwner(name), second.isOwner(name));
			}
		});

		// Guards against entries that each grant a whole rate, as they know of no other one (QUOTA).
		it('own no quota before they have read the members table', async () => {
			const peers = createPeers('a');
			assert.equal(ownedCount(peers), 0);
			const {grant} = await peers.reserve(customers[0]!, 1);
			assert.equal(grant.kind, 'refused');
			peers.setMembers([], true);
			assert.equal(ownedCount(peers), customers.length);
		});

		it('own no quota while they know another entry and the members table does not list them', () => {
			const peers = createPeers('a');
			peers.setMembers([], true);
			assert.equal(ownedCount(peers), customers.length);
			peers.setMembers([{id: 'b', endpoint: endpointOf('b')}], true);
			peers.onHeartbeat(heartbeatOf('b'), endpointOf('b'));
			assert.equal(ownedCount(peers), 0);
			peers.noteListed();
			assert.ok(ownedCount(peers) > 0);
		});
	});

	it('reports a serving peer until that peer stops serving or is lost', () => {
		const peers = createPeers('a');
		assert.equal(peers.hasServingPeer, false);
		peers.onHeartbeat(heartbeatOf('b'), endpointOf('b'));
		assert.equal(peers.hasServingPeer, true);
		peers.onHeartbeat({...heartbeatOf('b'), isServing: false}, endpointOf('b'));
		assert.equal(peers.hasServingPeer, false);
		peers.onHeartbeat(heartbeatOf('b'), endpointOf('b'));
		now = peerTimeoutMs + 1;
		peers.sendHeartbeats();
		assert.equal(peers.hasServingPeer, false);
	});

	describe('the number of entries that may have used their part of a right', () => {
		it('is not known before the members table was read, and includes those that have left', () => {
			const peers = createPeers('a');
			peers.onHeartbeat(heartbeatOf('b'), endpointOf('b'));
			assert.equal(peers.entriesWithin(1000), undefined);
			const rows = ['a', 'b', 'c'].map(id => ({id, endpoint: endpointOf(id)}));
			peers.setMembers(rows, true);
			assert.equal(peers.entriesWithin(1000), 3);
			now = 500;
			peers.setMembers(rows.slice(0, 2), true);
			assert.equal(peers.entriesWithin(1000), 3);
			now = 1500;
			assert.equal(peers.entriesWithin(1000), 2);
		});
	});

	describe('an entry that the members table does not list', () => {
		it('is kept while it sends heartbeats and removed when it is lost', async () => {
			const peers = createPeers('a');
			peers.noteListed();
			peers.onHeartbeat(heartbeatOf('b'), endpointOf('b'));
			assert.equal(peers.entryCount, 2);
			peers.setMembers([{id: 'a', endpoint: endpointOf('a')}], true);
			assert.equal(peers.entryCount, 2);
			now = peerTimeoutMs + 1;
			peers.sendHeartbeats();
			assert.equal(peers.entryCount, 1);
		});
	});

	describe('proofs of freshness from peers', () => {
		/** Last heartbeat that was sent to `b`. */
		const lastSentAt = (): number => {
			const {message} = sent.findLast(({to}) => to === 'b')!;
			assert.equal(message.type, 'entry');
			return message.sentAt;
		};

		/** Lets an entry send a heartbeat to `b` at 100 ms, and returns one of `b` at 120 ms that echoes it. */
		const echoOf = (peers: EntryPeers) => {
			now = 100;
			peers.onHeartbeat(heartbeatOf('b'), endpointOf('b'));
			const sentAt = lastSentAt();
			now = 120;
			return {
				...heartbeatOf('b'),
				echo: {sentAt, heldForMs: 10},
				proofAgeMs: 30,
			};
		};

		it('count if the peer knows nothing newer', async () => {
			const peers = createPeers('a');
			known = {era: 1, version: 5};
			peers.onHeartbeat(
				{...echoOf(peers), authorityEra: 1, authorityVersion: 5},
				endpointOf('b'),
			);
			assert.deepEqual(proofs, [{provenAt: 80, era: 1}]);
		});

		// Guards against a restarted entry that dates a proof by the clock of its predecessor, whose heartbeat the peer still
		// echoes: the proof lay in the future, so older adapter versions and withdrawn keys stayed in use (VERSION, REVOKE).
		describe('at an entry that has restarted', () => {
			/** Runs a new process of the entry for a time. */
			const runProcess = (forMs: number): EntryPeers => {
				const peers = createPeers('a');
				for (now = 0; now < forMs; now += heartbeatIntervalMs) {
					peers.onHeartbeat(heartbeatOf('b'), endpointOf('b'));
					peers.sendHeartbeats();
				}

				return peers;
			};

			/** Proofs that a process takes from echoes of the last heartbeat of the one before it. */
			const proofsOfOldEchoes = (ranForMs: number, ranSinceMs: number) => {
				runProcess(ranForMs);
				const sentAt = lastSentAt();
				const peers = runProcess(ranSinceMs);
				for (const heldForMs of [0, 500, ranSinceMs, 2 * ranSinceMs]) {
					peers.onHeartbeat(
						{
							...heartbeatOf('b'),
							echo: {sentAt, heldForMs},
							proofAgeMs: 30,
						},
						endpointOf('b'),
					);
				}

				return proofs;
			};

			for (const [ranForMs, ranSinceMs] of [
				[40_000, 1000],
				[600, 30_000],
				[5000, 5000],
			] as const) {
				it(`do not count if they echo its predecessor, which ran for ${ranForMs} ms, after ${ranSinceMs} ms`, () => {
					assert.deepEqual(proofsOfOldEchoes(ranForMs, ranSinceMs), []);
				});
			}

			it('count once they echo its own heartbeat', () => {
				runProcess(40_000);
				const peers = runProcess(201);
				now = 250;
				peers.onHeartbeat(
					{
						...heartbeatOf('b'),
						echo: {sentAt: lastSentAt(), heldForMs: 10},
						proofAgeMs: 30,
					},
					endpointOf('b'),
				);
				assert.equal(proofs.length, 1);
				assert.ok(Math.abs(proofs[0]!.provenAt - 180) < 1);
			});
		});

		// Guards against a proof from an entry with a fault of its clock, which would spread from entry to entry.
		it('from the future do not count', () => {
			const peers = createPeers('a');
			peers.onHeartbeat(
				{...echoOf(peers), proofAgeMs: -40_000},
				endpointOf('b'),
			);
			assert.deepEqual(proofs, []);
		});

		// Guards against a proof that is kept over an era.
		it('of an earlier era do not count, though its versions are higher', async () => {
			const peers = createPeers('a');
			known = {era: 1, version: 5};
			peers.onHeartbeat(
				{...echoOf(peers), authorityVersion: 9},
				endpointOf('b'),
			);
			await nextTurn();
			assert.deepEqual(proofs, []);
			assert.deepEqual(fetches, []);
		});

		it('of an earlier era do not count once a peer has told of a newer one', async () => {
			const peers = createPeers('a');
			served = {era: 0, version: 9};
			known = served;
			peers.onHeartbeat(
				{...heartbeatOf('c'), authorityEra: 1, authorityVersion: 2},
				endpointOf('c'),
			);
			peers.onHeartbeat(
				{...echoOf(peers), authorityVersion: 9},
				endpointOf('b'),
			);
			await nextTurn();
			assert.deepEqual(proofs, []);
		});

		// Guards against row versions that are compared across eras.
		it('of a newer era let the statements be fetched, and count once these are known', async () => {
			const peers = createPeers('a');
			known = {era: 0, version: 9};
			served = {era: 1, version: 2};
			peers.onHeartbeat(
				{...echoOf(peers), authorityEra: 1, authorityVersion: 2},
				endpointOf('b'),
			);
			assert.deepEqual(proofs, []);
			await nextTurn();
			assert.deepEqual(fetches, ['b']);
			assert.deepEqual(proofs, [{provenAt: 80, era: 1}]);
		});
	});
});
