import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../common/random.js';
import type {ConfigChange} from '../config/types.js';
import {ConfigReplica} from './config-replica.js';
import {maxParallelPulls, pullTimeoutMs, storeSource} from './constants.js';

const peers = ['a', 'b', 'c'];

function create(): ConfigReplica {
	const replica = ConfigReplica.create({
		id: 'self',
		random: createRandom(1),
		now: 0,
	});
	replica.handle({type: 'peersChanged', peers, fleetSize: 4}, 0);
	return replica;
}

function changes(from: number, to: number): readonly ConfigChange[] {
	return Array.from({length: to - from + 1}, (_, i) => ({
		version: from + i,
		changeId: `change-${from + i}`,
		author: 'test',
		writtenAt: 0,
		summary: '',
		ops: [{op: 'takeZoneOut', zone: `zone-${from + i}`}],
	}));
}

describe('ConfigReplica', () => {
	describe('at startup', () => {
		it('announces version 0 until it is ready', () => {
			const replica = create();
			const source = 'a';
			replica.handle(
				{type: 'changesReceived', source, changes: changes(1, 3)},
				1,
			);
			assert.equal(replica.state.version, 3);
			assert.equal(replica.isReady, false);
			assert.equal(replica.announcedVersion, 0);
		});

		it('becomes ready once it has read the store', () => {
			const replica = create();
			const commands = replica.handle(
				{type: 'changesReceived', source: storeSource, changes: []},
				1,
			);
			assert.deepEqual(commands, [{type: 'ready'}]);
		});

		it("is not ready until it has the changes that follow the store's snapshot", () => {
			const replica = create();
			const {state} = replica;
			const snapshot = {...state.toSnapshot(), version: 7};
			replica.handle(
				{type: 'snapshotReceived', source: storeSource, snapshot},
				1,
			);
			assert.equal(replica.isReady, false);
		});

		it('does not rely on peers before a read of the store has failed', () => {
			const replica = create();
			for (const peer of peers) {
				replica.handle({type: 'exchangeAnswered', peer, version: 0}, 1);
			}

			assert.equal(replica.isReady, false);
		});

		it("becomes ready at its peers' highest version while the store is down", () => {
			const replica = create();
			replica.handle({type: 'fetchFailed', source: storeSource}, 1);
			for (const [i, peer] of peers.entries()) {
				replica.handle({type: 'exchangeAnswered', peer, version: i + 1}, 1);
			}

			const source = 'c';
			replica.handle(
				{type: 'changesReceived', source, changes: changes(1, 2)},
				2,
			);
			assert.equal(replica.isReady, false);
			replica.handle(
				{type: 'changesReceived', source, changes: changes(3, 3)},
				3,
			);
			assert.equal(replica.isReady, true);
		});
	});

	describe('when it receives a lower version', () => {
		it('keeps the higher version', () => {
			const replica = create();
			const source = storeSource;
			replica.handle(
				{type: 'changesReceived', source, changes: changes(1, 5)},
				1,
			);
			const {state} = replica;
			const snapshot = {...state.toSnapshot(), version: 4};
			replica.handle({type: 'snapshotReceived', source: 'a', snapshot}, 2);
			replica.handle(
				{type: 'changesReceived', source: 'a', changes: changes(2, 4)},
				3,
			);
			assert.equal(replica.state, state);
		});
	});

	describe('when it is behind a peer', () => {
		it('pulls from one peer, then from several when no answer comes', () => {
			const replica = create();
			const seen = {type: 'peerVersionSeen', peer: 'a', version: 9} as const;
			const first = replica.handle(seen, 10);
			assert.deepEqual(first, [
				{type: 'pullFromPeer', peer: 'a', afterVersion: 0},
			]);
			assert.deepEqual(replica.handle(seen, 11), []);
			const pulls = replica
				.handle({type: 'tick'}, 10 + pullTimeoutMs)
				.filter(({type}) => type === 'pullFromPeer');
			assert.ok(pulls.length > 1 && pulls.length <= maxParallelPulls);
		});

		it('does not retry a failed pull immediately', () => {
			const replica = create();
			replica.handle({type: 'peerVersionSeen', peer: 'a', version: 9}, 10);
			const commands = replica.handle({type: 'fetchFailed', source: 'a'}, 10);
			assert.deepEqual(commands, []);
		});

		it('stops pulling from a peer that lacks the version it announced', () => {
			const replica = create();
			replica.handle({type: 'peerVersionSeen', peer: 'a', version: 1e15}, 10);
			replica.handle({type: 'changesReceived', source: 'a', changes: []}, 20);
			const pulls = replica
				.handle({type: 'tick'}, 1000)
				.filter(({type}) => type === 'pullFromPeer');
			assert.deepEqual(pulls, []);
		});

		it('pulls the missing changes when later ones arrive first', () => {
			const replica = create();
			const commands = replica.handle(
				{type: 'changesReceived', source: 'b', changes: changes(4, 5)},
				10,
			);
			assert.deepEqual(commands, [
				{type: 'pullFromPeer', peer: 'b', afterVersion: 0},
			]);
		});
	});

	describe('as a source for peers', () => {
		it('answers with a snapshot when its log lacks the changes', () => {
			const replica = create();
			const source = storeSource;
			const snapshot = {...replica.state.toSnapshot(), version: 7};
			replica.handle({type: 'snapshotReceived', source, snapshot}, 1);
			replica.handle(
				{type: 'changesReceived', source, changes: changes(8, 9)},
				2,
			);
			assert.equal(replica.answerAfter(3).kind, 'snapshot');
			assert.deepEqual(replica.answerAfter(7), {
				kind: 'changes',
				changes: changes(8, 9),
			});
			assert.equal(replica.changesAfter(3), undefined);
		});
	});
});
