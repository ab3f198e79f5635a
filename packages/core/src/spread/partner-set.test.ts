import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../common/random.js';
import {partnerCount, partnerIntervalMs} from './constants.js';
import {PartnerSet} from './partner-set.js';

const peers = Array.from({length: 40}, (_, i) => `peer-${i}`);

function create(among: readonly string[] = peers): PartnerSet {
	const partners = PartnerSet.create('peer-0', createRandom(1));
	partners.setPeers(among);
	return partners;
}

describe('PartnerSet', () => {
	it('gives each partner its turn', () => {
		const partners = create();
		const round = partners.next(partnerCount);
		assert.equal(new Set(round).size, partnerCount);
		assert.deepEqual(partners.next(partnerCount), round);
	});

	it('never gives the process itself, however few the peers', () => {
		assert.deepEqual(create(['peer-0']).next(3), []);
		assert.deepEqual(create([]).any(3), []);
		assert.deepEqual(create(['peer-0', 'peer-1']).next(3), ['peer-1']);
		assert.equal(create(['peer-0', 'peer-1']).otherCount, 1);
	});

	it('replaces a partner that does not answer', () => {
		const partners = create();
		const [first = ''] = partners.next(1);
		partners.replace(first);
		assert.ok(!partners.next(partnerCount).includes(first));
	});

	it('talks with all peers over time', () => {
		const partners = create();
		const met = new Set<string>();
		for (let i = 0; i < 500; i++) {
			partners.tick(i * partnerIntervalMs);
			for (const partner of partners.next(partnerCount)) {
				met.add(partner);
			}
		}

		assert.equal(met.size, peers.length - 1);
	});
});
