import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {customer} from '../authority/authority.testing.js';
import {heardLevelLifetimeMs} from './constants.js';
import {QuotaLedger} from './quota-ledger.js';

function create(isFirstStart: boolean, slackUnits = 0): QuotaLedger {
	return QuotaLedger.create({
		isFirstStart,
		slackUnits: () => slackUnits,
		now: 0,
	});
}

function kindOf(ledger: QuotaLedger, units: number, now: number): string {
	return ledger.take(customer, units, now).kind;
}

describe('QuotaLedger', () => {
	it('grants the burst at the first start of the fleet, then the rate', () => {
		const ledger = create(true);
		assert.equal(kindOf(ledger, 200, 0), 'granted');
		const refused = ledger.take(customer, 50, 100);
		assert.deepEqual(refused, {kind: 'refused', retryAfterMs: 400, level: 10});
		assert.equal(kindOf(ledger, 50, 500), 'granted');
	});

	it('starts empty otherwise, as others may have spent the burst', () => {
		const ledger = create(false);
		assert.equal(kindOf(ledger, 50, 0), 'refused');
		assert.equal(kindOf(ledger, 50, 500), 'granted');
	});

	it('has accrued since the start where nobody told of a level, for a second at most', () => {
		assert.equal(kindOf(create(false), 50, 500), 'granted');
		assert.equal(kindOf(create(false), 100, 60_000), 'granted');
		assert.equal(kindOf(create(false), 101, 60_000), 'refused');
	});

	it('starts with half of the slack where nobody told of a level, but not after it stood still', () => {
		assert.equal(kindOf(create(false, 100), 51, 0), 'refused');
		assert.equal(kindOf(create(false, 100), 50, 0), 'granted');
		const thawed = create(false, 100);
		thawed.forget(0);
		assert.equal(kindOf(thawed, 1, 0), 'refused');
	});

	it('goes on from the level that the owner before told', () => {
		const ledger = create(true);
		ledger.hear([{customer: 'c', level: 10}], 0);
		assert.equal(kindOf(ledger, 50, 100), 'refused');
		assert.equal(kindOf(ledger, 50, 400), 'granted');
	});

	it('starts empty where that level is too old', () => {
		const ledger = create(true);
		ledger.hear([{customer: 'c', level: 200}], 0);
		assert.equal(kindOf(ledger, 50, heardLevelLifetimeMs), 'refused');
	});

	it('goes on with nothing after it stood still', () => {
		const ledger = create(true);
		assert.equal(kindOf(ledger, 10, 0), 'granted');
		ledger.forget(10_000);
		assert.equal(kindOf(ledger, 10, 10_000), 'refused');
		assert.equal(kindOf(ledger, 10, 10_100), 'granted');
	});

	it('binds a lower limit at once', () => {
		const ledger = create(true);
		assert.equal(kindOf(ledger, 10, 0), 'granted');
		const lower = {...customer, unitsPerSecond: 10, burstUnits: 20};
		assert.equal(ledger.take(lower, 20, 0).kind, 'granted');
		assert.equal(ledger.take(lower, 20, 1000).kind, 'refused');
	});

	it('lets a request beyond the burst through when the bucket is full, and has it owed', () => {
		const ledger = create(true);
		assert.equal(kindOf(ledger, 500, 0), 'granted');
		assert.equal(kindOf(ledger, 1, 2000), 'refused');
		assert.equal(kindOf(ledger, 1, 3100), 'granted');
	});

	it('takes back units of requests that did not run, up to the burst', () => {
		const ledger = create(true);
		assert.equal(kindOf(ledger, 200, 0), 'granted');
		ledger.giveBack('c', 150, 0);
		ledger.giveBack('c', 150, 0);
		assert.equal(kindOf(ledger, 200, 0), 'granted');
		assert.equal(kindOf(ledger, 1, 0), 'refused');
	});

	it('without an owner grants all entries together at most the slack', () => {
		let granted = 0;
		for (let entry = 0; entry < 5; entry++) {
			const ledger = create(false, 1000);
			for (let i = 0; i < 100; i++) {
				if (ledger.takeUnowned(customer, 10, 5, 0).kind === 'granted') {
					granted += 10;
				}
			}
		}

		assert.ok(granted > 0 && granted <= 1000, `${granted}`);
	});
});
