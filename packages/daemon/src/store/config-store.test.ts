import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ConfigState, type ConfigChange, type ConfigOp} from '@balsamtray/core';
import {ConfigStore} from './config-store.js';
import {MemoryObjects, MemoryTable, type StoreFault} from './testing.js';

function change(
	version: number,
	changeId: string,
	ops: readonly ConfigOp[] = [],
): ConfigChange {
	return {version, changeId, author: 'a', writtenAt: 1, summary: '', ops};
}

function createStore(faults: readonly StoreFault[] = []) {
	const remainingFaults = [...faults];
	const table = MemoryTable.create(call =>
		call === 'write' ? (remainingFaults.shift() ?? 'none') : 'none',
	);
	const objects = MemoryObjects.create();
	const store = ConfigStore.create({environment: 'trial', table, objects});
	return {store, table, objects};
}

/** Operations whose JSON exceeds the limit for a row. */
function manyOps(): readonly ConfigOp[] {
	return Array.from({length: 2000}, (_, i) => ({
		op: 'takeZoneOut',
		zone: `zone-${i}`,
	}));
}

describe('ConfigStore', () => {
	describe('append', () => {
		it('returns the winning change when two changes have the same version', async () => {
			const {store} = createStore();
			await store.append(change(1, 'first'));
			const result = await store.append(change(1, 'second'));
			assert.equal(result.kind, 'conflict');
			assert.equal(result.winner.changeId, 'first');
		});

		it('accepts a change once when responses are lost', async () => {
			const {store} = createStore(['responseLost', 'responseLost']);
			const result = await store.append(change(1, 'own'));
			assert.deepEqual(result, {kind: 'accepted'});
			const read = await store.readAfter(0);
			assert.equal(read.changes.length, 1);
		});

		it('returns unavailable when the store is down', async () => {
			const {store} = createStore(['down']);
			const result = await store.append(change(1, 'own'));
			assert.equal(result.kind, 'unavailable');
			assert.equal(result.error.peer, 'table service');
		});

		it('returns outcomeUnknown when a response is lost and all retries fail', async () => {
			const {store} = createStore(['responseLost', 'down', 'down', 'down']);
			const result = await store.append(change(1, 'own'));
			assert.equal(result.kind, 'outcomeUnknown');
		});
	});

	describe('readAfter', () => {
		it('reads large changes from the object store', async () => {
			const {store, objects} = createStore();
			const large = change(1, 'large', manyOps());
			await store.append(large);
			assert.equal(objects.bodies.size, 1);
			const read = await store.readAfter(0);
			assert.deepEqual(read.changes, [large]);
		});

		it('rejects when an object is damaged', async () => {
			const {store, objects} = createStore();
			await store.append(change(1, 'large', manyOps()));
			for (const name of objects.bodies.keys()) {
				objects.bodies.set(name, '[]');
			}

			await assert.rejects(store.readAfter(0), {peer: 'object store'});
		});

		it('returns the snapshot and the changes after it when reading from version 0', async () => {
			const {store} = createStore();
			await store.append(change(1, 'a', [{op: 'takeZoneOut', zone: 'z'}]));
			const state = ConfigState.empty().applyChange(
				change(1, 'a', [{op: 'takeZoneOut', zone: 'z'}]),
			);
			assert.equal(state.kind, 'applied');
			await store.writeSnapshot(state.state.toSnapshot());
			await store.append(change(2, 'b'));
			const read = await store.readAfter(0);
			assert.deepEqual(read.snapshot, state.state.toSnapshot());
			assert.deepEqual(read.changes, [change(2, 'b')]);
		});

		it('reads all changes when they span several pages', async () => {
			const {store} = createStore();
			for (let version = 1; version <= 1100; version++) {
				// Each change needs the version after the previous one.
				// eslint-disable-next-line no-await-in-loop
				await store.append(change(version, `c${version}`));
			}

			const read = await store.readAfter(0);
			assert.equal(read.changes.length, 1100);
			const rest = await store.changesAfter(1);
			assert.equal(rest.length, 1099);
		});
	});
});
