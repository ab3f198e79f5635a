import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SuspensionDetector} from './suspension-detector.js';
import {freshnessMarginMs} from './constants.js';
import {FreshnessLease, maxProofWaitMs} from './freshness-lease.js';

describe('FreshnessLease', () => {
	it('expires before the time limit by the margin', () => {
		const lease = FreshnessLease.create(() => 5000);
		assert.equal(lease.isFresh(0), false);
		lease.prove(100, 0, 0);
		assert.equal(lease.isFresh(100 + 5000 - freshnessMarginMs - 1), true);
		assert.equal(lease.isFresh(100 + 5000 - freshnessMarginMs), false);
	});

	it('applies a changed time limit at once, and never expires without one', () => {
		let boundMs: number | undefined = 5000;
		const lease = FreshnessLease.create(() => boundMs);
		lease.prove(0, 0, 0);
		boundMs = 2000;
		assert.equal(lease.isFresh(2000), false);
		boundMs = undefined;
		assert.equal(lease.isFresh(60_000), true);
	});

	it('ignores an older proof', () => {
		const lease = FreshnessLease.create(() => 5000);
		lease.prove(200, 0, 0);
		lease.prove(100, 0, 0);
		assert.equal(lease.provenAt, 200);
	});

	it('drops proofs from before a suspension, including late ones', () => {
		const lease = FreshnessLease.create(() => 5000);
		lease.prove(100, 0, 0);
		lease.invalidate(1);
		assert.equal(lease.isFresh(101), false);
		lease.prove(102, 0, 0);
		assert.equal(lease.isFresh(103), false);
		lease.prove(104, 1, 0);
		assert.equal(lease.isFresh(105), true);
	});

	// Guards against a proof that is kept over an era of the store.
	it('is dated by proofs of the newest era only, though they are older', () => {
		const lease = FreshnessLease.create(() => 5000);
		lease.prove(200, 0, 0);
		assert.equal(lease.provenAtIn(0), 200);
		lease.prove(150, 0, 1);
		assert.equal(lease.provenAt, 150);
		assert.equal(lease.provenAtIn(0), Number.NEGATIVE_INFINITY);
		lease.prove(300, 0, 0);
		assert.equal(lease.provenAt, 150);
	});
});

describe('maxProofWaitMs', () => {
	it('leaves time to renew the proof when the store answers late', () => {
		for (const boundMs of [3000, 5000, 8000]) {
			const lease = FreshnessLease.create(() => boundMs);
			const readMs = maxProofWaitMs(boundMs, 900) + 900;
			lease.prove(0, 0, 0);
			assert.equal(lease.isFresh(2 * readMs - 1), true);
		}

		assert.equal(maxProofWaitMs(1000, 1000), 0);
	});
});

describe('SuspensionDetector', () => {
	it('detects a suspension from a forward jump of the wall clock', () => {
		const detector = SuspensionDetector.create(0, 1000);
		assert.equal(detector.check(500, 1500), false);
		assert.equal(detector.check(510, 4510), true);
		assert.equal(detector.epoch, 1);
		assert.equal(detector.check(600, 4600), false);
	});

	it('ignores drift and a backward step of the wall clock', () => {
		const detector = SuspensionDetector.create(0, 1000);
		assert.equal(detector.check(1000, 2001), false);
		assert.equal(detector.check(2000, 1000), false);
		assert.equal(detector.epoch, 0);
	});
});
