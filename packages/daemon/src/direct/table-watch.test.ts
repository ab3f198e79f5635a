import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {TableWatch} from './table-watch.js';
import type {TableRead} from './types.js';

type StoreResponse = TableRead<string> | 'historyLost' | Error;

/** Watches a table with the given responses and returns the events in order. */
async function watchResponses(
	responses: readonly StoreResponse[],
	intervalMs = 0,
): Promise<readonly string[]> {
	const events: string[] = [];
	const remaining = [...responses];
	let now = 0;
	const next = async (kind: string): Promise<Exclude<StoreResponse, Error>> => {
		now++;
		events.push(kind);
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

const read = (version: number): TableRead<string> => ({rows: [], version});

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
		await watchResponses([read(3), 'historyLost', read(9)], intervalMs);
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
