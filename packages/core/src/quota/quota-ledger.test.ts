import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {customer} from '../authority/authority.testing.js';
import {peerLevelLifetimeMs, slackWindowMs} from './constants.js';
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
	it('grants the burst at the first start of the fleet, and the rate afterwards', () => {
		const ledger = create(true);
		assert.equal(kindOf(ledger, 200, 0), 'granted');
		const refused = ledger.take(customer, 50, 100);
		assert.deepEqual(refused, {kind: 'refused', retryAfterMs: 400, level: 10});
		assert.equal(kindOf(ledger, 50, 500), 'granted');
	});

	it('starts empty at a later start without slack, as other entries may have spent the burst', () => {
		const ledger = create(false);
		assert.equal(kindOf(ledger, 50, 0), 'refused');
		assert.equal(kindOf(ledger, 50, 500), 'granted');
	});

	it('starts with the units accrued since the start, for at most a second, when no level was reported', () => {
		assert.equal(kindOf(create(false), 50, 500), 'granted');
		assert.equal(kindOf(create(false), 100, 60_000), 'granted');
		assert.equal(kindOf(create(false), 101, 60_000), 'refused');
	});

	it('starts with half of the slack and a second of the rate when no level was reported, but empty after a pause', () => {
		assert.equal(kindOf(create(false, 100), 151, slackWindowMs), 'refused');
		assert.equal(kindOf(create(false, 100), 150, slackWindowMs), 'granted');
		const resumed = create(false, 100);
		resumed.resetAfterPause(0);
		assert.equal(kindOf(resumed, 1, 0), 'refused');
	});

	it('continues from the level that the previous owner reported', () => {
		const ledger = create(true);
		ledger.recordPeerLevels([{customer: 'c', level: 10}], 0);
		assert.equal(kindOf(ledger, 50, 100), 'refused');
		assert.equal(kindOf(ledger, 50, 400), 'granted');
	});

	// Guards against a burst that a former owner's level gives a customer once more (QUOTA).
	it('continues from the lower level if another entry has granted units too', () => {
		for (const reported of [5, 200]) {
			const ledger = create(true);
			assert.equal(kindOf(ledger, 190, 0), 'granted');
			ledger.recordPeerLevels([{customer: 'c', level: reported}], 0);
			assert.equal(kindOf(ledger, 11, 0), 'refused');
			assert.equal(kindOf(ledger, Math.min(10, reported), 0), 'granted');
		}
	});

	it('starts empty when the reported level is too old', () => {
		const ledger = create(true);
		ledger.recordPeerLevels([{customer: 'c', level: 200}], 0);
		assert.equal(kindOf(ledger, 50, peerLevelLifetimeMs), 'refused');
	});

	it('continues with empty buckets after a pause', () => {
		const ledger = create(true);
		assert.equal(kindOf(ledger, 10, 0), 'granted');
		ledger.resetAfterPause(10_000);
		assert.equal(kindOf(ledger, 10, 10_000), 'refused');
		assert.equal(kindOf(ledger, 10, 10_100), 'granted');
	});

	it('applies a lower limit at once', () => {
		const ledger = create(true);
		assert.equal(kindOf(ledger, 10, 0), 'granted');
		const lower = {...customer, unitsPerSecond: 10, burstUnits: 20};
		assert.equal(ledger.take(lower, 20, 0).kind, 'granted');
		assert.equal(ledger.take(lower, 20, 1000).kind, 'refused');
	});

	it('grants a request larger than the burst when the bucket is full, and repays the debt before the next grant', () => {
		const ledger = create(true);
		assert.equal(kindOf(ledger, 500, 0), 'granted');
		assert.equal(kindOf(ledger, 1, 2000), 'refused');
		assert.equal(kindOf(ledger, 1, 3100), 'granted');
	});

	it('accepts returned units of requests that did not run, up to the burst', () => {
		const ledger = create(true);
		assert.equal(kindOf(ledger, 200, 0), 'granted');
		ledger.returnUnits('c', 150, 0);
		ledger.returnUnits('c', 150, 0);
		assert.equal(kindOf(ledger, 200, 0), 'granted');
		assert.equal(kindOf(ledger, 1, 0), 'refused');
	});

	it('grants all entries together at most the slack while no owner answers', () => {
		let granted = 0;
		for (let entry = 0; entry < 5; entry++) {
			const ledger = create(false, 1000);
			for (let i = 0; i < 100; i++) {
				const grant = ledger.takeWithoutOwner(customer, 10, 5, slackWindowMs);
				granted += grant.kind === 'granted' ? 10 : 0;
			}
		}

		assert.ok(granted > 0 && granted <= 1000, `${granted}`);
	});

	// Guards against processes that grant the slack again after each restart (QUOTA).
	describe('processes of one entry that are killed one after the other, 1 s apart', () => {
		const slackUnits = 1000;
		const lives = 8;
		const grantedBy = (
			take: (ledger: QuotaLedger, now: number) => string,
		): number => {
			let granted = 0;
			for (let life = 0; life < lives; life++) {
				const startedAt = 1000 * life;
				const ledger = QuotaLedger.create({
					isFirstStart: false,
					slackUnits: () => slackUnits,
					now: startedAt,
				});
				for (let now = startedAt; now < startedAt + 1000; now++) {
					granted += take(ledger, now) === 'granted' ? 1 : 0;
				}
			}

			return granted;
		};

		it('grant no more than the rate and the slack as the owner', () => {
			const granted = grantedBy((ledger, now) => kindOf(ledger, 1, now));
			const ofRate = customer.unitsPerSecond * lives;
			assert.ok(granted >= 0.9 * ofRate, `${granted}`);
			assert.ok(granted <= ofRate + slackUnits, `${granted}`);
		});

		it('grant no more than a part of the rate and the slack while no owner answers', () => {
			const granted = grantedBy(
				(ledger, now) => ledger.takeWithoutOwner(customer, 1, 1, now).kind,
			);
			const ofRate = 0.05 * customer.unitsPerSecond * lives;
			assert.ok(granted <= ofRate + slackUnits, `${granted}`);
		});
	});
});
