import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import type {RecordedOutcome} from '@balsamtray/core';
import {ClaimTask, maxInlineOutcomeLength} from './claim-task.js';
import {createTestTelemetry, MemoryTable} from './testing.js';

const customer = 'lakeshore';

function createTask(
	entryId: string,
	table: MemoryTable,
	objects: Map<string, string>,
): ClaimTask {
	return ClaimTask.create({
		entryId,
		environment: 'test',
		table,
		objects: {
			async put(name, body) {
				objects.set(name, body);
			},
			get: async name => objects.get(name),
		},
		telemetry: createTestTelemetry(),
		clock: () => Date.now(),
	});
}

function outcomeOf(length: number): RecordedOutcome {
	return {
		kind: 'answered',
		status: 200,
		contentType: 'text/plain',
		body: 'x'.repeat(length),
	};
}

describe('ClaimTask', () => {
	const table = MemoryTable.create();
	const objects = new Map<string, string>();
	const a = createTask('entry-a', table, objects);
	const b = createTask('entry-b', table, objects);
	before(async () => {
		await a.start();
		await b.start();
	});
	after(async () => {
		await a.stop(1000);
		await b.stop(1000);
	});

	describe('when two entries claim a key concurrently', () => {
		it('grants it to one and reports it as in progress to the other', async () => {
			const results = await Promise.all([
				a.claim('c1', customer, 'race', 'body'),
				b.claim('c2', customer, 'race', 'body'),
			]);
			const kinds = results.map(result => result.kind).toSorted();
			assert.deepEqual(kinds, ['granted', 'inProgress']);
			await a.release('c1');
			await b.release('c2');
		});
	});

	describe('when the outcome of the call is recorded', () => {
		for (const length of [10, 2 * maxInlineOutcomeLength]) {
			it(`returns the recorded outcome with a body of ${length} characters`, async () => {
				const key = `done-${length}`;
				const granted = await a.claim(key, customer, key, 'body');
				assert.equal(granted.kind, 'granted');
				await a.record(key, customer, key, outcomeOf(length));
				assert.deepEqual(await b.claim(`${key}-b`, customer, key, 'body'), {
					kind: 'recorded',
					outcome: outcomeOf(length),
				});
			});
		}

		it('reports a mismatch if the key comes with another body', async () => {
			const result = await b.claim('c5', customer, 'done-10', 'other');
			assert.deepEqual(result, {kind: 'mismatch'});
		});
	});

	describe('when the claim is released', () => {
		it('grants the key to the next claim', async () => {
			const first = await a.claim('c6', customer, 'free', 'body');
			assert.equal(first.kind, 'granted');
			await a.release('c6');
			const again = await b.claim('c7', customer, 'free', 'body');
			assert.equal(again.kind, 'granted');
			await b.release('c7');
		});
	});
});
