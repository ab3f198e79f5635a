import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {LeaseCommand, ShardRow} from './lease-types.js';
import {ShardLeases} from './shard-leases.js';

const self = {id: 'entry-a', zone: 'zone-a', region: 'great-lakes'};
const other = {id: 'entry-b', zone: 'zone-b', region: 'great-lakes'};
const times = {leaseMs: 10_000, renewalMs: 3000, pollMsPerShard: 1000};
const otherRow: ShardRow = {
	state: 'held',
	holder: other,
	incarnation: 'b1',
	peerAddress: 'b',
	epoch: 4,
	writeId: 'b/0',
};

function createLeases(): ShardLeases {
	const leases = ShardLeases.create({
		self,
		incarnation: 'a1',
		peerAddress: 'a',
		times,
	});
	const shards = [{id: 's', region: self.region}];
	leases.handle({type: 'shardsLearned', shards}, 0);
	leases.handle({type: 'entriesChanged', entries: [self, other]}, 0);
	return leases;
}

function readRow(
	leases: ShardLeases,
	row: ShardRow,
	version: number,
	now: number,
) {
	const rows = new Map([['s', {row, version}]]);
	return leases.handle({type: 'rowsRead', rows}, now);
}

function writesOf(commands: readonly LeaseCommand[]) {
	return commands.filter(command => command.type === 'writeRow');
}

function grantsOf(commands: readonly LeaseCommand[]) {
	return commands.flatMap(command =>
		command.type === 'notifyRate' && command.event.type === 'leaseGranted'
			? [command.event]
			: [],
	);
}

describe('ShardLeases', () => {
	describe('with a shard that was never held', () => {
		it('claims it with full buckets and starts the lease when the write is sent', () => {
			const leases = createLeases();
			const commands = leases.handle({type: 'rowsRead', rows: new Map()}, 100);
			const [write] = writesOf(commands);
			assert.ok(write !== undefined && write.version === undefined);
			const [grant] = grantsOf(
				leases.handle(
					{
						type: 'writeSettled',
						writeId: write.writeId,
						result: {kind: 'committed', version: 1},
					},
					900,
				),
			);
			assert.equal(grant?.validUntil, 100 + times.leaseMs);
			assert.deepEqual(grant.start, {kind: 'full'});
		});
	});

	describe('with a shard that another entry holds', () => {
		it('claims it once its row has been unchanged for longer than a lease', () => {
			const leases = createLeases();
			readRow(leases, otherRow, 7, 0);
			assert.equal(writesOf(readRow(leases, otherRow, 8, 9000)).length, 0);
			assert.equal(writesOf(leases.handle({type: 'tick'}, 19_000)).length, 0);
			assert.equal(writesOf(leases.handle({type: 'tick'}, 19_200)).length, 0);
			const [write] = writesOf(leases.handle({type: 'tick'}, 21_000));
			assert.equal(write?.version, 8);
		});

		it('claims it at once, with empty buckets, when a check proves the holder dead', () => {
			const leases = createLeases();
			readRow(leases, otherRow, 7, 0);
			const checked = {type: 'holderChecked', shard: 's', version: 7} as const;
			const silent = leases.handle({...checked, verdict: 'silent'}, 10);
			assert.equal(writesOf(silent).length, 0);
			const dead = leases.handle({...checked, verdict: 'dead'}, 20);
			const [write] = writesOf(dead);
			assert.equal(write?.version, 7);
			const [grant] = grantsOf(
				leases.handle(
					{
						type: 'writeSettled',
						writeId: write.writeId,
						result: {kind: 'committed', version: 9},
					},
					30,
				),
			);
			assert.deepEqual(grant?.start, {kind: 'empty'});
		});
	});

	describe('when the answer of a claim is lost', () => {
		it('recognises by the row that the claim took effect', () => {
			const leases = createLeases();
			const commands = leases.handle({type: 'rowsRead', rows: new Map()}, 0);
			const [write] = writesOf(commands);
			assert.ok(write !== undefined);
			const {writeId, row} = write;
			leases.handle(
				{type: 'writeSettled', writeId, result: {kind: 'lost'}},
				1000,
			);
			const [grant] = grantsOf(readRow(leases, row, 3, 1500));
			assert.equal(grant?.validUntil, times.leaseMs);
		});
	});

	describe('when another entry has claimed the shard', () => {
		it('reports the lease as lost', () => {
			const leases = createLeases();
			const commands = leases.handle({type: 'rowsRead', rows: new Map()}, 0);
			const [write] = writesOf(commands);
			assert.ok(write !== undefined);
			leases.handle(
				{
					type: 'writeSettled',
					writeId: write.writeId,
					result: {kind: 'committed', version: 1},
				},
				1,
			);
			const events = readRow(leases, otherRow, 2, 2);
			assert.ok(
				events.some(
					command =>
						command.type === 'notifyRate' && command.event.type === 'leaseLost',
				),
			);
			assert.deepEqual(leases.heldShards, []);
		});
	});
});
