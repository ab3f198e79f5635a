import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {EntryWorld, type WorldOptions} from './entry-world.testing.js';
import type {Observation} from './observations.testing.js';
import {
	maxAttempts,
	maxRedecisions,
	maxSavedRetries,
	retriesEachSecond,
	retriesForEachDispatch,
} from './constants.js';

/** One fixed seed: the same schedules, and the same verdict, in each run. */
const settings = {numRuns: 1000, seed: 20_260_109};

const anyWorld: fc.Arbitrary<WorldOptions> = fc.record({
	seed: fc.integer({min: 0, max: 2 ** 31}),
	requests: fc.integer({min: 1, max: 14}),
	faultShare: fc.constantFrom(0, 0.2, 0.5, 0.9),
	shutsDown: fc.boolean(),
});

/** Runs worlds and checks what an observer saw. */
function checkWorlds(check: (world: EntryWorld) => void): void {
	fc.assert(
		fc.property(anyWorld, options => {
			const world = EntryWorld.create(options);
			world.run();
			check(world);
		}),
		settings,
	);
}

function checkRequests(check: (observation: Observation) => void): void {
	checkWorlds(world => {
		for (const observation of world.observations.all()) {
			check(observation);
		}
	});
}

describe('EntryCore under any order of events and faults', () => {
	it('gives each request exactly one final outcome', () => {
		checkRequests(({finals, isGone, request}) => {
			const expected = isGone ? 0 : 1;
			assert.equal(finals.length, expected, request.requestId);
		});
	});

	it('says "not run" only of requests that never ran', () => {
		checkRequests(({finals, runs}) => {
			const [final] = finals;
			if (final?.type === 'refuse' && final.refusal.notRun) {
				assert.deepEqual(runs, []);
			}
		});
	});

	it('runs a call that may not be repeated at most once for each idempotency key', () => {
		checkWorlds(world => {
			const runs = new Map<string, number>();
			for (const observation of world.observations.all()) {
				if (!observation.isRepeatable) {
					const key = observation.request.idempotencyKey!;
					runs.set(key, (runs.get(key) ?? 0) + observation.runs.length);
				}
			}

			for (const count of runs.values()) {
				assert.ok(count <= 1);
			}
		});
	});

	it('relays no answer to another request, no two answers to one, and dispatches only what is in force', () => {
		checkWorlds(world => {
			assert.deepEqual(world.observations.violations, []);
		});
	});

	it('answers or starts to answer each request by its deadline', () => {
		checkRequests(({request, startedAt, finalAt, isGone}) => {
			const at = startedAt ?? finalAt;
			assert.ok(isGone || (at !== undefined && at <= request.deadlineAt));
		});
	});

	it('gives back no more tokens than it reserved, and all of a request that was not dispatched', () => {
		checkRequests(({reserved, returned, dispatches}) => {
			assert.ok(returned <= reserved);
			if (dispatches.length === 0) {
				assert.equal(returned, reserved);
			}
		});
	});

	it('leaves nothing open', () => {
		checkWorlds(world => {
			assert.equal(world.core.stats().openRequests, 0);
			for (const {hasOpenClaim} of world.observations.all()) {
				assert.equal(hasOpenClaim, false);
			}
		});
	});

	it('drains once after a shutdown was requested', () => {
		checkWorlds(world => {
			const {isShuttingDown} = world.core.stats();
			assert.equal(world.drainedCount, isShuttingDown ? 1 : 0);
		});
	});

	it('keeps retries within the budget', () => {
		checkWorlds(world => {
			const seen = world.observations.all();
			const counts = seen.map(({dispatches}) => dispatches.length);
			assert.ok(counts.every(count => count <= maxAttempts + maxRedecisions));
			const first = counts.filter(count => count > 0).length;
			const total = counts.reduce((sum, count) => sum + count, 0);
			const allowed =
				maxSavedRetries +
				first * retriesForEachDispatch +
				(world.schedule.now * retriesEachSecond) / 1000;
			assert.ok(total - first <= allowed + first * maxRedecisions);
		});
	});
});
