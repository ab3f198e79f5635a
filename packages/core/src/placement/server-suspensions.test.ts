import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {maxRememberedServers, resumptionRampMs} from './constants.js';
import {ServerSuspensions} from './server-suspensions.js';

const statement = {forMs: 3000, share: 0, service: 's'};

describe('ServerSuspensions', () => {
	it('ends each at its time', () => {
		const suspensions = ServerSuspensions.create();
		suspensions.note('x', statement, 0);
		suspensions.note('x', {...statement, forMs: 1000}, 100);
		assert.equal(suspensions.remainingMs('x', 2999), 1);
		assert.equal(suspensions.remainingMs('x', 3000), 0);
		assert.equal(suspensions.remainingMs('y', 0), 0);
		assert.deepEqual(suspensions.suspendedServers('s', 2999), ['x']);
		assert.deepEqual(suspensions.suspendedServers('s', 3000), []);
		assert.deepEqual(suspensions.suspendedServers('t', 0), []);
	});

	describe('while identifiers come and go for days', () => {
		// Guards against memory that grows with every server that ever turned a request away.
		it('keeps those that hold, and forgets those that are over', () => {
			const suspensions = ServerSuspensions.create();
			const everyMs = 10_000;
			for (let i = 0; i < 50_000; i++) {
				suspensions.note(`i${i}`, statement, i * everyMs);
				assert.equal(suspensions.size, 1);
			}

			const end = 49_999 * everyMs + statement.forMs;
			assert.equal(suspensions.remainingMs('i49999', end - 1), 1);
			suspensions.note('last', statement, end + resumptionRampMs);
			assert.equal(suspensions.size, 1);
		});

		it('forgets the oldest of more than fleets have', () => {
			const suspensions = ServerSuspensions.create();
			for (let i = 0; i <= maxRememberedServers; i++) {
				suspensions.note(`i${i}`, {...statement, forMs: 600_000}, 0);
			}

			assert.equal(suspensions.size, maxRememberedServers);
			assert.equal(suspensions.remainingMs('i0', 1), 0);
			assert.equal(suspensions.remainingMs('i1', 1), 599_999);
		});
	});
});
