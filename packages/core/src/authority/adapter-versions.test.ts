import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {AdapterVersions} from './adapter-versions.js';
import {maxDeclarationsPerAdapter} from './constants.js';

const graceMs = 1000;

/** Reference: the newest of all versions that were declared at least `graceMs` ago. */
function expectedMinimum(sinceOf: readonly number[], now: number): number {
	return sinceOf.findLastIndex(since => now - since >= graceMs) + 1;
}

describe('AdapterVersions', () => {
	it('requires nothing of an adapter without a declared version', () => {
		const versions = AdapterVersions.create();
		assert.equal(versions.newest('m/a'), undefined);
		assert.equal(versions.minimum('m/a', graceMs, 1e9), 0);
	});

	it('ignores a version that is not newer', () => {
		const versions = AdapterVersions.create();
		assert.equal(versions.declare('m/a', 3, 0), true);
		assert.equal(versions.declare('m/a', 3, 500), false);
		assert.equal(versions.declare('m/a', 2, 500), false);
		assert.equal(versions.minimum('m/a', graceMs, graceMs), 3);
	});

	describe('of versions that follow each other', () => {
		// Guards against a newer version that grants the ones before it a new time in use.
		for (const gapMs of [1, 100, 400, 999, 1000, 2500]) {
			it(`requires each one from its own declaration on, ${gapMs} ms apart`, () => {
				const versions = AdapterVersions.create();
				const sinceOf: number[] = [];
				for (let i = 0; i < maxDeclarationsPerAdapter; i++) {
					sinceOf.push(i * gapMs);
					versions.declare('m/a', i + 1, i * gapMs);
				}

				for (let now = 0; now < 20 * graceMs; now += 50) {
					assert.equal(
						versions.minimum('m/a', graceMs, now),
						expectedMinimum(sinceOf, now),
					);
				}
			});
		}

		it('never requires one later than that, however many are kept', () => {
			const versions = AdapterVersions.create();
			const sinceOf: number[] = [];
			for (let now = 0; now < 5 * graceMs; now += 25) {
				sinceOf.push(now);
				versions.declare('m/a', sinceOf.length, now);
				assert.ok(
					versions.minimum('m/a', graceMs, now) >=
						expectedMinimum(sinceOf, now),
				);
			}
		});
	});
});
