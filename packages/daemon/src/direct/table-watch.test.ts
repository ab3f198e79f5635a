import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {eraGraceMs, StoreEra} from '@balsamtray/core';
import {TableWatch} from './table-watch.js';
import type {TableRead} from './types.js';

type StoreResponse = TableRead<string> | 'historyLost' | Error;

/** Watches a table with the given responses and returns the events in order. */
async function watchResponses(
	responses: readonly StoreResponse[],
	{
		msPerRead = 1,
		intervalMs = 0,
		instantRead = -1,
		copies = [],
	}: {
		readonly msPerRead?: number;
		readonly intervalMs?: number;
		readonly instantRead?: number;
		/** Versions of copies that arrive from a peer during the reads, one during each. */
		readonly copies?: readonly number[];
	} = {},
): Promise<readonly string[]> {
	const events: string[] = [];
	const remaining = [...responses];
	let now = 0;
	const era = StoreEra.create();
	const next = async (kind: string): Promise<Exclude<StoreResponse, Error>> => {
		now += responses.length - remaining.length === instantRead ? 0 : msPerRead;
		events.push(kind);
		const copy = copies[responses.length - remaining.length];
		if (copy !== undefined) {
			watch.noteVersion({era: 0, version: copy});
		}

		const response = remaining.shift();
		if (remaining.length === 0) {
			watch.dispose();
		}

		if (response instanceof Error || response === undefined) {
			throw response ?? new Error('no response left');
		}

		return response;
	};

	const watch = TableWatch.create<string>({
		name: 't',
		source: {
			async readAll() {
				const read = await next('all');
				assert.ok(read !== 'historyLost');
				return read;
			},
			readChanges: async after => next(`after ${after}`),
		},
		waitMs: () => 100,
		intervalMs,
		untilDueMs: () => 0,
		minFailurePauseMs: () => 0,
		clock: () => now,
		era,
		onEra(value) {
			era.note(value, now);
		},
		epoch: () => 0,
		onRead(read, isSnapshot) {
			events.push(`${isSnapshot ? 'whole' : 'changes'} ${read.version}`);
		},
		onTimed: () => undefined,
		onLost() {
			events.push('lost');
		},
		onRegained() {
			events.push('regained');
		},
	});
	await watch.run();
	return events;
}

const read = (version: number, era = 0): TableRead<string> => ({
	rows: [],
	version,
	era,
});

describe('TableWatch', () => {
	it('reads the whole table first, then only changes', async () => {
		const events = await watchResponses([read(3), read(5), read(5), read(6)]);
		assert.deepEqual(events.slice(0, 6), [
			'all',
			'whole 3',
			'after 3',
			'changes 5',
			'after 5',
			'changes 5',
		]);
	});

	it('reads the whole table again when the change history is lost', async () => {
		const events = await watchResponses([
			read(3),
			'historyLost',
			read(9),
			read(9),
		]);
		assert.deepEqual(events.slice(2, 5), ['after 3', 'all', 'whole 9']);
	});

	// Guards against an old server list (DRAIN) while an entry waits to read again after the history was lost.
	it('reads the whole table without a pause when the change history is lost', async () => {
		const intervalMs = 400;
		const startedAt = performance.now();
		await watchResponses([read(3), 'historyLost', read(9)], {intervalMs});
		const tookMs = performance.now() - startedAt;
		assert.ok(tookMs < 3 * intervalMs, `${tookMs} ms`);
	});

	it('ignores a response with an older version than one already seen', async () => {
		const events = await watchResponses([read(7), read(6), read(8), read(8)]);
		assert.deepEqual(events.slice(0, 5), [
			'all',
			'whole 7',
			'after 7',
			'after 7',
			'changes 8',
		]);
	});

	// Guards against a removed server or entry that a slow first read brings back after a copy of a peer without it, and
	// that stays, since the peer has nothing newer to tell.
	it('drops a first read that is older than a copy which arrived meanwhile', async () => {
		const events = await watchResponses(
			[read(10), read(20), read(21), read(21)],
			{copies: [20]},
		);
		assert.deepEqual(events.slice(0, 5), [
			'all',
			'all',
			'whole 20',
			'after 20',
			'changes 21',
		]);
	});

	// Guards against a store without eras that went back and is not read any more.
	it('takes a first read that began after the copy, whatever its version', async () => {
		const events = await watchResponses(
			[read(10), read(11), read(12), read(12)],
			{copies: [20]},
		);
		assert.deepEqual(events.slice(0, 3), ['all', 'all', 'whole 11']);
	});

	describe('when the store came back from a copy', () => {
		// Guards against changes that are read from a version of an earlier era.
		it('reads the whole table, though the versions have caught up', async () => {
			const events = await watchResponses([
				read(7),
				read(9, 1),
				read(9, 1),
				read(9, 1),
			]);
			assert.deepEqual(events.slice(2, 6), [
				'after 7',
				'all',
				'whole 9',
				'after 9',
			]);
		});

		it('takes versions below those seen before', async () => {
			const events = await watchResponses([
				read(7),
				'historyLost',
				read(3, 1),
				read(4, 1),
				read(4, 1),
			]);
			assert.deepEqual(events.slice(2, 7), [
				'after 7',
				'all',
				'whole 3',
				'after 3',
				'changes 4',
			]);
		});

		// Guards against a leaving server that is noticed an interval later than usual (DRAIN).
		it(
			'does not wait for the next interval before it reads the whole table',
			{timeout: 5000},
			async () => {
				const intervalMs = 60_000;
				const startedAt = performance.now();
				for (const dropped of [read(9, 1), 'historyLost'] as const) {
					// eslint-disable-next-line no-await-in-loop
					const events = await watchResponses(
						[read(7), dropped, read(9, 1), read(9, 1)],
						{msPerRead: intervalMs, intervalMs, instantRead: 1},
					);
					assert.deepEqual(events.slice(2, 5), ['after 7', 'all', 'whole 9']);
				}

				assert.ok(performance.now() - startedAt < intervalMs);
			},
		);

		// Guards against a proof from an earlier era.
		it('drops a response of an earlier era', async () => {
			const events = await watchResponses([
				read(2, 1),
				read(9, 0),
				read(3, 1),
				read(3, 1),
			]);
			assert.deepEqual(events.slice(2, 5), ['after 2', 'after 2', 'changes 3']);
		});

		it('reads the whole table once more when the era is settled', async () => {
			const events = await watchResponses(
				[2, 3, 4, 5, 6, 6].map(version => read(version, 1)),
				{msPerRead: eraGraceMs / 2},
			);
			assert.deepEqual(
				events.filter(event => !event.startsWith('after')),
				[
					'all',
					'whole 2',
					'changes 3',
					'changes 4',
					'all',
					'whole 5',
					'changes 6',
				],
			);
		});
	});

	it('reports an outage of the store once, and its end', async () => {
		const down = new Error('down');
		const events = await watchResponses([
			read(1),
			down,
			down,
			read(2),
			read(2),
		]);
		assert.deepEqual(events.slice(2, 8), [
			'after 1',
			'lost',
			'after 1',
			'after 1',
			'regained',
			'changes 2',
		]);
	});
});
