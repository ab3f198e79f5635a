import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {QuotaLedger, type CustomerRule} from '@balsamtray/core';
import type {EntryBeat, GossipMessage} from '@balsamtray/protocol';
import {peerSilenceMs} from './constants.js';
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

const beatOf = (from: string): EntryBeat => ({
	type: 'entry',
	from,
	sentAt: 0,
	authorityVersion: 0,
	isServing: true,
	levels: [],
});

let now: number;
let sent: Array<{readonly message: GossipMessage; readonly to: string}>;

function create(hostId: string): EntryPeers {
	return EntryPeers.create({
		hostId,
		clock: () => now,
		epoch: () => 0,
		ledger: QuotaLedger.create({
			isFirstStart: true,
			slackUnits: () => 0,
			now: 0,
		}),
		send(message, {host}) {
			sent.push({message, to: host});
		},
		authorityVersion: () => 0,
		isServing: () => true,
		provenAt: () => 0,
		onProof: () => undefined,
		fetchStatements: async () => [],
		onStatements: () => undefined,
		onAsked: () => undefined,
		onLost: () => undefined,
		onRegained: () => undefined,
		onError: () => undefined,
	});
}

function ownedBy(peers: EntryPeers): number {
	return customers.filter(({name}) => peers.isOwner(name)).length;
}

describe('EntryPeers', () => {
	beforeEach(() => {
		now = 0;
		sent = [];
	});

	describe('entries that start together', () => {
		it('know each other as soon as the later one has read the table', () => {
			const first = create('a');
			const second = create('b');
			first.noteListed();
			first.setMembers([{id: 'a', endpoint: endpointOf('a')}], true);
			assert.equal(ownedBy(first), customers.length);
			second.noteListed();
			second.setMembers(
				['a', 'b'].map(id => ({id, endpoint: endpointOf(id)})),
				true,
			);
			assert.deepEqual(
				sent.map(({message: {type}, to}) => ({type, to})),
				[{type: 'entry', to: 'a'}],
			);
			first.onBeat(beatOf('b'), endpointOf('b'));
			second.onBeat(beatOf('a'), endpointOf('a'));
			for (const {name} of customers) {
				assert.notEqual(first.isOwner(name), second.isOwner(name));
			}
		});

		it('keep no rate while the table does not name them, beside others', () => {
			const peers = create('a');
			assert.equal(ownedBy(peers), customers.length);
			peers.setMembers([{id: 'b', endpoint: endpointOf('b')}], true);
			peers.onBeat(beatOf('b'), endpointOf('b'));
			assert.equal(ownedBy(peers), 0);
			peers.noteListed();
			assert.ok(ownedBy(peers) > 0);
		});
	});

	it('know whether another entry serves, until it says otherwise or falls silent', () => {
		const peers = create('a');
		assert.equal(peers.hasServing, false);
		peers.onBeat(beatOf('b'), endpointOf('b'));
		assert.equal(peers.hasServing, true);
		peers.onBeat({...beatOf('b'), isServing: false}, endpointOf('b'));
		assert.equal(peers.hasServing, false);
		peers.onBeat(beatOf('b'), endpointOf('b'));
		now = peerSilenceMs + 1;
		peers.beat();
		assert.equal(peers.hasServing, false);
	});

	describe('an entry that is not listed', () => {
		it('is kept while it is heard, and told nothing once it is silent', async () => {
			const peers = create('a');
			peers.noteListed();
			peers.onBeat(beatOf('b'), endpointOf('b'));
			assert.equal(peers.entryCount, 2);
			peers.setMembers([{id: 'a', endpoint: endpointOf('a')}], true);
			assert.equal(peers.entryCount, 2);
			now = peerSilenceMs + 1;
			peers.beat();
			assert.equal(peers.entryCount, 1);
		});
	});
});
