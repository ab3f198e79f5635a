import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TableStore, type TableWrite} from './table-store.js';

function insert(key: string, value: unknown): TableWrite {
	return {table: 'claims', key, value, condition: {kind: 'absent'}};
}

describe('TableStore', () => {
	describe('transact', () => {
		it('applies no write when one condition fails', () => {
			const store = TableStore.create();
			store.transact([insert('a', 1)]);
			const result = store.transact([insert('b', 2), insert('a', 3)]);
			assert.equal(result.kind, 'conflict');
			assert.deepEqual(result.conflicts, [
				{index: 1, current: {value: 1, version: 1}},
			]);
			assert.equal(store.row('claims', 'b'), undefined);
		});

		it('refuses a write that expects an outdated version', () => {
			const store = TableStore.create();
			store.transact([insert('a', 1)]);
			const write = {
				table: 'claims',
				key: 'a',
				value: 2,
				condition: {kind: 'version', version: 1},
			} as const;
			assert.deepEqual(store.transact([write]), {
				kind: 'committed',
				versions: [2],
			});
			assert.equal(store.transact([write]).kind, 'conflict');
		});

		it('deletes a row when the value is null', () => {
			const store = TableStore.create();
			store.transact([insert('a', 1)]);
			store.transact([{...insert('a', null), condition: {kind: 'any'}}]);
			assert.equal(store.row('claims', 'a'), undefined);
		});
	});

	describe('rows', () => {
		it('lists the rows with a prefix in key order, starting after the given key', () => {
			const store = TableStore.create();
			store.transact(['k3', 'k1', 'x', 'k2'].map(key => insert(key, key)));
			const keys = store.rows('claims', 'k', 'k1', 5).map(row => row.key);
			assert.deepEqual(keys, ['k2', 'k3']);
		});
	});
});
