import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {AdapterSlots} from './adapter-slots.js';

describe('AdapterSlots', () => {
	describe('reserve', () => {
		it('refuses an adapter when all slots are taken', () => {
			const slots = AdapterSlots.create(1);
			assert.equal(slots.reserve('salt@1', 'w1'), 'reserved');
			assert.equal(slots.reserve('salt@1', 'w1'), 'alreadyLoaded');
			assert.equal(slots.reserve('mats@1', 'w2'), 'full');
		});

		it('serves an adapter only after its load completes', () => {
			const slots = AdapterSlots.create(1);
			slots.reserve('salt@1', 'w1');
			assert.equal(slots.weightsOf('salt@1'), undefined);
			slots.completeLoad('salt@1');
			assert.equal(slots.weightsOf('salt@1'), 'w1');
		});
	});

	describe('free', () => {
		it('reports whether a request was using the adapter', () => {
			const slots = AdapterSlots.create(2);
			slots.reserve('salt@1', 'w1');
			slots.reserve('mats@1', 'w2');
			slots.beginUse('salt@1');
			assert.deepEqual(slots.free('salt@1'), {wasInUse: true});
			assert.deepEqual(slots.free('mats@1'), {wasInUse: false});
			assert.equal(slots.free('mats@1'), undefined);
		});
	});
});
