import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {
	shortageTtlMs,
	type Customer,
	type Host,
	type HolderVerdict,
} from '@balsamtray/core';
import {
	createTestConfig,
	createTestTelemetry,
	MemoryTable,
} from '../claims/testing.js';
import {RateTask} from './rate-task.js';
import type {RatePeers} from './types.js';

const customer: Customer = {
	name: 'lakeshore',
	tokensPerSecond: 1,
	burstTokens: 3000,
	weight: 1,
};

const pollIntervalMs = 10;
const maxWaitMs = 4000;

/** Entries in one process that call each other directly. */
class Fleet {
	static create(): Fleet {
		return new Fleet();
	}

	readonly table = MemoryTable.create();
	readonly tasks = new Map<string, RateTask>();
	private readonly _hosts: Host[] = [];

	private constructor() {
		for (const id of ['entry-a', 'entry-b']) {
			this._hosts.push({
				role: 'entry',
				id,
				zone: id,
				region: 'great-lakes',
				peerAddress: id,
				state: 'live',
			});
		}
	}

	async start(id: string, incarnation: string): Promise<RateTask> {
		const task = RateTask.create({
			self: {id, zone: id, region: 'great-lakes'},
			incarnation,
			peerAddress: id,
			environment: 'test',
			table: this.table,
			peers: this._peers(),
			config: createTestConfig([customer]),
			membership: {
				hosts: () => this._hosts,
				find: hostId => this._hosts.find(host => host.id === hostId),
				onChanged: () => ({dispose: () => undefined}),
			},
			telemetry: createTestTelemetry(),
			clocks: {monotonic: () => performance.now(), wall: () => Date.now()},
			leaseTimes: {leaseMs: 60_000, renewalMs: 10_000, pollMsPerShard: 5},
		});
		this.tasks.set(id, task);
		await task.start();
		return task;
	}

	/** Waits until the entries hold the given number of shards in total. */
	async waitForShards(count: number): Promise<void> {
		const deadline = performance.now() + maxWaitMs;
		while (this.table.countRows('test.rate-shards', isHeld) < count) {
			assert.ok(
				performance.now() < deadline,
				'the shards were not acquired in time',
			);
			// Polls until the leases are acquired.
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollIntervalMs);
		}

		// Waits until all entries have read the rows again.
		await sleep(10 * pollIntervalMs);
	}

	async stop(): Promise<void> {
		for (const task of this.tasks.values()) {
			// Sequential, as in a rolling restart.
			// eslint-disable-next-line no-await-in-loop
			await task.stop();
		}
	}

	private _peers(): RatePeers {
		return {
			requestTransfer: async (address, request) => {
				const task = this.tasks.get(address);
				return task === undefined
					? {kind: 'refused'}
					: {kind: 'answered', answer: await task.requestTransfer(request)};
			},
			settleTransfers: async (address, settlements) => {
				this.tasks.get(address)?.settleTransfers(settlements);
			},
			readShardMap: async address => this.tasks.get(address)?.shardMap(),
			checkHolder: async (address): Promise<HolderVerdict> =>
				this.tasks.has(address) ? 'alive' : 'dead',
		};
	}
}

function isHeld(value: unknown): boolean {
	return (
		typeof value === 'object' &&
		value !== null &&
		'state' in value &&
		value.state === 'held'
	);
}

async function sleep(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

describe('RateTask', () => {
	const fleet = Fleet.create();
	after(async () => fleet.stop());

	describe('with two entries', () => {
		it('lets one entry spend the full burst and no more', async () => {
			const [a, b] = await Promise.all([
				fleet.start('entry-a', 'i1'),
				fleet.start('entry-b', 'i1'),
			]);
			await fleet.waitForShards(3);
			assert.deepEqual(await a.reserve('r1', 'lakeshore', 2900), {
				kind: 'reserved',
			});
			const refused = await b.reserve('r2', 'lakeshore', 200);
			assert.equal(refused.kind, 'refused');
			assert.ok((refused.retryAfterMs ?? 0) > 0);
			a.returnTokens('lakeshore', 2900, 'r1');
			// After a holder was short of tokens, an entry pauses before it requests tokens from it again.
			await sleep(2 * shortageTtlMs);
			assert.deepEqual(await b.reserve('r3', 'lakeshore', 2900), {
				kind: 'reserved',
			});
		});
	});

	describe('with a request larger than the burst', () => {
		it('refuses it without a retry delay', async () => {
			const task = fleet.tasks.get('entry-a');
			assert.deepEqual(await task?.reserve('r4', 'lakeshore', 3001), {
				kind: 'refused',
			});
		});
	});

	describe('when an entry starts while the store is down', () => {
		it('reads the shard map from another entry and reserves tokens', async () => {
			fleet.table.isDown = true;
			const late = await fleet.start('entry-c', 'i1');
			const held = await late.reserve('r6', 'lakeshore', 50);
			fleet.table.isDown = false;
			assert.deepEqual(held, {kind: 'reserved'});
			fleet.tasks.delete('entry-c');
			await late.stop();
		});
	});

	describe('when an entry stops', () => {
		it('passes its shards and their levels on to the other entry', async () => {
			const a = fleet.tasks.get('entry-a');
			fleet.tasks.delete('entry-a');
			await a?.stop();
			await fleet.waitForShards(3);
			const b = fleet.tasks.get('entry-b');
			const refused = await b?.reserve('r5', 'lakeshore', 200);
			assert.equal(refused?.kind, 'refused');
		});
	});
});
