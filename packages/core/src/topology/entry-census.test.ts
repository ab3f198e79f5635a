import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EntryCensus} from './entry-census.js';

describe('EntryCensus', () => {
	it('knows no number before the members table was read', () => {
		const census = EntryCensus.create();
		census.setOthers(['a'], 0);
		assert.equal(census.count(1000, 0), undefined);
		census.noteTable();
		assert.equal(census.count(1000, 0), 2);
	});

	it('counts an entry that is no longer known until the time is over', () => {
		const census = EntryCensus.create();
		census.noteTable();
		census.setOthers(['a', 'b'], 0);
		census.setOthers(['b'], 5000);
		assert.equal(census.count(1000, 5999), 3);
		assert.equal(census.count(1000, 6000), 2);
	});

	it('counts an entry once that is known again', () => {
		const census = EntryCensus.create();
		census.noteTable();
		for (const others of [['a'], [], ['a'], []]) {
			census.setOthers(others, 100);
		}

		assert.equal(census.count(1000, 200), 2);
	});

	it('forgets entries that have long gone', () => {
		const census = EntryCensus.create();
		census.noteTable();
		census.setOthers(['a'], 0);
		census.setOthers([], 1);
		census.setOthers([], 100_000);
		assert.equal(census.count(Number.POSITIVE_INFINITY, 100_000), 1);
	});
});
