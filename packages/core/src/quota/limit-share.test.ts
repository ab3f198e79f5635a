import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {limitShare} from './limit-share.js';

/** Entries of a zone, of which some are watched and some of these are lost. */
function zoneOf(zone: string, count: number, watched: number, lost: number) {
	return Array.from({length: count}, (_, i) => ({
		zone,
		isWatched: i < watched,
		isLost: i < lost,
	}));
}

// Guards against both sides of a cut that grant the whole limit of a server (LIMIT).
describe('the share of a limit', () => {
	it('is the whole one while no entry is lost, watched or not', () => {
		assert.equal(
			limitShare([...zoneOf('a', 7, 2, 0), ...zoneOf('b', 8, 0, 0)]),
			1,
		);
		assert.equal(limitShare([]), 1);
	});

	it('leaves out a zone whose watched entries are all lost', () => {
		const others = [...zoneOf('a', 7, 3, 0), ...zoneOf('b', 8, 2, 2)];
		assert.equal(limitShare(others), 8 / 16);
	});

	it('leaves out only the lost entries of a zone that is reached', () => {
		const others = [...zoneOf('a', 7, 3, 1), ...zoneOf('b', 8, 2, 1)];
		assert.equal(limitShare(others), 14 / 16);
	});

	it('adds up to one on both sides of a cut', () => {
		const inside = limitShare([
			...zoneOf('a', 7, 7, 0),
			...zoneOf('b', 16, 3, 3),
		]);
		const outside = limitShare([
			...zoneOf('b', 15, 4, 0),
			...zoneOf('a', 8, 1, 1),
		]);
		assert.equal(inside + outside, 1);
	});
});
