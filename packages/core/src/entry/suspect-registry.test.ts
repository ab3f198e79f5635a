import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SuspectRegistry} from './suspect-registry.js';

describe('SuspectRegistry', () => {
	describe('for a request that ran at two crashes', () => {
		// Guards against a quarantine that a second report of the same crash lifts, as two entries or two attempts give it.
		it('keeps it quarantined when one of the crashes is reported again', () => {
			const registry = SuspectRegistry.create();
			registry.noteCrash(['request'], 'first', 0);
			registry.noteCrash(['request'], 'second', 10);
			assert.ok(registry.quarantinedForMs('request', 10) > 0);
			registry.noteCrash(['request'], 'second', 20);
			assert.ok(registry.quarantinedForMs('request', 20) > 0);
		});
	});

	describe('for a request that ran at one crash', () => {
		// Guards against a quarantine by reports of a single crash.
		it('does not quarantine it when that crash is reported again', () => {
			const registry = SuspectRegistry.create();
			registry.noteCrash(['request'], 'first', 0);
			registry.noteCrash(['request'], 'first', 10);
			assert.equal(registry.quarantinedForMs('request', 10), 0);
		});
	});
});
