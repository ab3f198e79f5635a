import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {PersistentMap} from './persistent-map.js';

const seed = 1;
const steps = fc.array(
	fc.record({
		key: fc.nat(1000).map(String),
		value: fc.option(fc.nat(), {nil: undefined}),
	}),
	{maxLength: 600},
);

type Step = {readonly key: string; readonly value: number | undefined};

function entriesOf(list: readonly Step[]) {
	return list.map(({key, value}) => [key, value] as const);
}

describe('PersistentMap', () => {
	describe('compared with a built-in map', () => {
		it('holds the same entries and leaves earlier maps unchanged', () => {
			const property = fc.property(steps, list => {
				const plain = new Map<string, number>();
				let map = PersistentMap.empty<number>();
				for (const {key, value} of list) {
					const before = map;
					const valueBefore = before.get(key);
					if (value === undefined) {
						plain.delete(key);
						map = map.delete(key);
					} else {
						plain.set(key, value);
						map = map.set(key, value);
					}

					assert.equal(before.get(key), valueBefore);
				}

				assert.equal(map.size, plain.size);
				assert.deepEqual(new Map(map.entries()), plain);
				assert.deepEqual(map.sortedKeys(), [...plain.keys()].toSorted());
			});
			fc.assert(property, {seed, numRuns: 200});
		});

		it('gives the same result for a batch update as for single changes', () => {
			const property = fc.property(steps, steps, (first, second) => {
				const start = PersistentMap.from(entriesOf(first));
				const plain = new Map(start.entries());
				const changes = new Map(entriesOf(second));
				for (const [key, value] of changes) {
					if (value === undefined) {
						plain.delete(key);
					} else {
						plain.set(key, value);
					}
				}

				const map = start.update(changes);
				assert.equal(map.size, plain.size);
				assert.deepEqual(new Map(map.entries()), plain);
			});
			fc.assert(property, {seed, numRuns: 200});
		});
	});
});
