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

	// Guards against entries that forget such requests when they restart (BUDGET, review case 3).
	describe('of an entry that has just started', () => {
		it('has the quarantined requests of another one, for as long as that', () => {
			const known = SuspectRegistry.create();
			for (const server of ['first', 'second']) {
				known.noteCrash(['request'], server, 1000);
				known.noteCrash([`only ${server}`], server, 1000);
			}

			const started = SuspectRegistry.create();
			assert.equal(started.digest(0), '');
			assert.notEqual(known.digest(5000), '');
			started.merge(known.quarantined(5000), 100);
			assert.equal(started.digest(100), known.digest(5000));
			assert.equal(
				started.quarantinedForMs('request', 100),
				known.quarantinedForMs('request', 5000),
			);
			assert.equal(started.quarantinedForMs('only first', 100), 0);
		});

		it('keeps the later of two times, and ignores malformed items', () => {
			const registry = SuspectRegistry.create();
			registry.noteCrash(['request'], 'first', 0);
			registry.noteCrash(['request'], 'second', 9000);
			const before = registry.quarantinedForMs('request', 10_000);
			const request = {
				fingerprint: 'request',
				bootIds: ['a', 'b'],
				agoMs: 9000,
			};
			registry.merge([request, 1, {...request, agoMs: -1}, {}], 10_000);
			assert.equal(registry.quarantinedForMs('request', 10_000), before);
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
