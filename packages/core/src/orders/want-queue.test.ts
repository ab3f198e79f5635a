import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import type {AdapterWant} from '../placement/types.js';
import {wantLifetimeMs} from './constants.js';
import {WantQueue} from './want-queue.js';

let queue: WantQueue;

const want = (version: number): AdapterWant => ({
	model: 'm',
	adapter: 'a',
	version,
});

const versions = () => queue.inLoadOrder().map(({version}) => version);

describe('WantQueue', () => {
	beforeEach(() => {
		queue = WantQueue.create();
	});

	describe('of entries that know different versions of an adapter', () => {
		// Guards against an order that names an older version, since the entry that has not heard of the newer one was the
		// last to ask.
		it('wants the newest, whichever asked last', () => {
			queue.note(want(3), 'e1', 0);
			queue.note(want(2), 'e2', 10);
			assert.deepEqual(versions(), [3]);
			queue.note(want(4), 'e2', 20);
			assert.deepEqual(versions(), [4]);
		});

		// Guards against a want for a newer version that ends when the engine holds the older one.
		it('is satisfied only by the newest', () => {
			queue.note(want(3), 'e1', 0);
			queue.note(want(2), 'e2', 10);
			queue.prune(({version}) => version <= 2, 20);
			assert.deepEqual(versions(), [3]);
		});

		// Guards against a version that is wanted for ever although nobody asks for it any more.
		it('wants an older one again once no entry has asked for the newest for a time', () => {
			queue.note(want(3), 'e1', 0);
			for (let now = 100; now <= wantLifetimeMs; now += 100) {
				queue.note(want(2), 'e2', now);
				assert.deepEqual(versions(), [now < wantLifetimeMs ? 3 : 2]);
			}
		});

		it('forgets them all together', () => {
			queue.note(want(3), 'e1', 0);
			queue.note(want(2), 'e2', 10);
			queue.prune(() => false, 10 + wantLifetimeMs);
			assert.deepEqual(versions(), []);
		});
	});
});
