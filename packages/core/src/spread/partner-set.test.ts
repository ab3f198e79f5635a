import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../common/random.js';
import {partnerCount, partnerIntervalMs} from './constants.js';
import {PartnerSet} from './partner-set.js';

const peers = Array.from({length: 40}, (_, i) => `peer-${i}`);

function create(peerIds: readonly string[] = peers): PartnerSet {
	const partners = PartnerSet.create('peer-0', createRandom(1));
	partners.setPeers(peerIds);
	return partners;
}

describe('PartnerSet', () => {
	it('returns the partners in rotation', () => {
		const partners = create();
		const round = partners.next(partnerCount);
		assert.equal(new Set(round).size, partnerCount);
		assert.deepEqual(partners.next(partnerCount), round);
	});

	it('never returns the process itself, even with few or no peers', () => {
		assert.deepEqual(create(['peer-0']).next(3), []);
		assert.deepEqual(create([]).randomPeers(3), []);
		assert.deepEqual(create(['peer-0', 'peer-1']).next(3), ['peer-1']);
		assert.equal(create(['peer-0', 'peer-1']).otherPeerCount, 1);
	});

	it('replaces a partner', () => {
		const partners = create();
		const [first = ''] = partners.next(1);
		partners.replace(first);
		assert.ok(!partners.next(partnerCount).includes(first));
	});

	it('selects every peer as a partner over time', () => {
		const partners = create();
		const seen = new Set<string>();
		for (let i = 0; i < 500; i++) {
			partners.tick(i * partnerIntervalMs);
			for (const partner of partners.next(partnerCount)) {
				seen.add(partner);
			}
		}

		assert.equal(seen.size, peers.length - 1);
	});
});
