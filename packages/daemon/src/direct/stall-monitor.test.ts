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
});
