import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {topByRendezvous} from './rendezvous.js';

const members = Array.from({length: 12}, (_, i) => `server-${i}`);

function keyNames(count: number): readonly string[] {
	return Array.from({length: count}, (_, i) => `adapter-${i}`);
}

describe('topByRendezvous', () => {
	describe('when a member leaves', () => {
		it('moves only the keys that the member owned', () => {
			const [gone, ...rest] = members;
			for (const key of keyNames(500)) {
				const [before] = topByRendezvous(key, members, 1);
				const [after] = topByRendezvous(key, rest, 1);
				if (before !== gone) {
					assert.equal(after, before);
				}
			}
		});
	});

	describe('over many keys', () => {
		it('spreads the keys evenly', () => {
			const owned = new Map<string, number>();
			for (const key of keyNames(12_000)) {
				const [owner] = topByRendezvous(key, members, 1);
				assert.ok(owner !== undefined);
				owned.set(owner, (owned.get(owner) ?? 0) + 1);
			}

			assert.equal(owned.size, members.length);
			for (const count of owned.values()) {
				assert.ok(count > 850 && count < 1150, `owned ${count}`);
			}
		});
	});
});
