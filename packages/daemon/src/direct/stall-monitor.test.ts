import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {StallMonitor} from './stall-monitor.js';

describe('StallMonitor', () => {
	it('adds up the times between checks that are far apart', () => {
		const monitor = StallMonitor.create(100);
		assert.equal(monitor.check(300), 0);
		assert.equal(monitor.check(900), 0);
		assert.equal(monitor.check(3400), 2500);
		assert.equal(monitor.check(3600), 2500);
		assert.equal(monitor.check(5600), 4500);
	});

	// Guards against requests that are sent to servers after a stall, although their callers have left meanwhile (GONE).
	it('tells when requests may be read that were sent long before', () => {
		const monitor = StallMonitor.create(0);
		monitor.check(200);
		assert.equal(monitor.isCatchingUp(500), false);
		assert.equal(monitor.isCatchingUp(600), true);
		monitor.check(600);
		assert.equal(monitor.isCatchingUp(601), true);
		for (let now = 800; now < 1600; now += 200) {
			monitor.check(now);
		}

		assert.equal(monitor.isCatchingUp(1599), true);
		assert.equal(monitor.isCatchingUp(1600), false);
	});
});
