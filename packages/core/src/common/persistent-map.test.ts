import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {PersistentMap} from './persistent-map.js';

const seed = 1;
const steps = fc.array(
	fc.record({
		key: fc.nat(300).map(String),
		value: fc.option(fc.nat(), {nil: undefined}),
	}),
	{maxLength: 400},
);

describe('PersistentMap', () => {
	describe('against a plain map', () => {
		it('holds the same entries and leaves earlier maps as they were', () => {
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
	});
});
