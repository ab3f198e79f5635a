import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	EntrySimulation,
	type SimulationOptions,
} from './entry-simulation.testing.js';
import type {Observation} from './observations.testing.js';
import {
	maxAttempts,
	maxConfigRetries,
	retryBudgetCapacity,
	retriesPerSecond,
	retriesPerDispatch,
} from './constants.js';

/** The fixed seed makes every run check the same schedules. */
const settings = {numRuns: 1000, seed: 20_260_109};

const anySimulation: fc.Arbitrary<SimulationOptions> = fc.record({
	seed: fc.integer({min: 0, max: 2 ** 31}),
	requests: fc.integer({min: 1, max: 14}),
	faultShare: fc.constantFrom(0, 0.2, 0.5, 0.9),
	willShutDown: fc.boolean(),
});

/** Runs random simulations and applies the check to each. */
function checkSimulations(check: (simulation: EntrySimulation) => void): void {
	fc.assert(
		fc.property(anySimulation, options => {
			const simulation = EntrySimulation.create(options);
			simulation.run();
			check(simulation);
		}),
		settings,
	);
}

function checkRequests(check: (observation: Observation) => void): void {
	checkSimulations(simulation => {
		for (const observation of simulation.observations.all()) {
			check(observation);
		}
	});
}

describe('EntryCore under random event orders and faults', () => {
	it('gives each request exactly one final outcome, or none if its caller disconnects first', () => {
		checkRequests(({finals, isCallerGone, request}) => {
			const expected = isCallerGone ? 0 : 1;
			assert.equal(finals.length, expected, request.requestId);
		});
	});

	it('refuses with `notRun` only requests that never ran', () => {
		checkRequests(({finals, runs}) => {
			const [final] = finals;
			if (final?.type === 'refuse' && final.refusal.notRun) {
				assert.deepEqual(runs, []);
			}
		});
	});

	it('runs a non-repeatable call at most once per idempotency key', () => {
		checkSimulations(simulation => {
			const runs = new Map<string, number>();
			for (const observation of simulation.observations.all()) {
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

	it('relays at most one answer per request, its own, and dispatches only what the configuration allows', () => {
		checkSimulations(simulation => {
			assert.deepEqual(simulation.observations.violations, []);
		});
	});

	it('starts to answer each request by its deadline', () => {
		checkRequests(({request, startedAt, finalAt, isCallerGone}) => {
			const at = startedAt ?? finalAt;
			assert.ok(isCallerGone || (at !== undefined && at <= request.deadlineAt));
		});
	});

	it('returns at most the reserved tokens, and all of them if the request was not dispatched', () => {
		checkRequests(({reserved, returned, dispatches}) => {
			assert.ok(returned <= reserved);
			if (dispatches.length === 0) {
				assert.equal(returned, reserved);
			}
		});
	});

	it('leaves no request and no claim open', () => {
		checkSimulations(simulation => {
			assert.equal(simulation.core.stats().openRequests, 0);
			for (const {hasOpenClaim} of simulation.observations.all()) {
				assert.equal(hasOpenClaim, false);
			}
		});
	});

	it('emits `drained` exactly once after a shutdown request', () => {
		checkSimulations(simulation => {
			const {isShuttingDown} = simulation.core.stats();
			assert.equal(simulation.drainedCount, isShuttingDown ? 1 : 0);
		});
	});

	it('keeps retries within the budget', () => {
		checkSimulations(simulation => {
			const seen = simulation.observations.all();
			const counts = seen.map(({dispatches}) => dispatches.length);
			assert.ok(counts.every(count => count <= maxAttempts + maxConfigRetries));
			const first = counts.filter(count => count > 0).length;
			const total = counts.reduce((sum, count) => sum + count, 0);
			const allowed =
				retryBudgetCapacity +
				first * retriesPerDispatch +
				(simulation.schedule.now * retriesPerSecond) / 1000;
			assert.ok(total - first <= allowed + first * maxConfigRetries);
		});
	});
});
