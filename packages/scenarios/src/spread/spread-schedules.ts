import assert from 'node:assert/strict';
import {ConfigState, type ConfigChange, type ConfigOp} from '@balsamtray/core';
import fc from 'fast-check';
import {SpreadSimulation} from './spread-simulation.js';
import type {SpreadFaults} from './types.js';

/** With the store up, an accepted change must be in force on all processes within this time, in milliseconds. */
export const convergenceLimitMs = 5000;

/** Fleet size at which a process polls the store every two minutes. */
const largeFleetSize = 12_000;
/** Time for all processes to become ready, in milliseconds. */
const startMs = 3000;

const change = fc.record({
	kind: fc.constant('change' as const),
	author: fc.nat(39),
	isResponseLost: fc.boolean(),
});
const restart = fc.record({
	kind: fc.constant('restart' as const),
	process: fc.nat(39),
});
const anyFaults = fc.record({
	kind: fc.constant('faults' as const),
	faults: fc.record({
		lossShare: fc.constantFrom(0, 0.25, 0.5),
		isStoreDown: fc.boolean(),
		storeDelayMs: fc.constantFrom(1, 400, 1500, 2500),
		storeLossShare: fc.constantFrom(0, 0, 0.5),
	}),
});
const messageLoss = fc.record({
	kind: fc.constant('faults' as const),
	faults: fc.record({
		lossShare: fc.constantFrom(0, 0.25, 0.5),
		isStoreDown: fc.constant(false),
		storeDelayMs: fc.constantFrom(1, 400),
		storeLossShare: fc.constant(0),
	}),
});
const waitMs = fc.integer({min: 1, max: 2500});
const step = fc.record({waitMs, action: fc.oneof(change, restart, anyFaults)});
const changeOrLoss = fc.record({
	waitMs,
	action: fc.oneof(change, restart, messageLoss),
});

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/** Faults under which changes must converge: the store is up, and half of the requests and half of the responses are lost. */
export const healedFaults: SpreadFaults = {
	lossShare: 0.5,
	isStoreDown: false,
	storeDelayMs: 5,
	storeLossShare: 0,
};

/** Returns the operations of the change with the given version. */
export function opsOf(version: number): readonly ConfigOp[] {
	const key = {
		id: `key-${version % 5}`,
		customer: 'c',
		salt: '',
		digest: '',
		issuedAt: version,
	};
	return version % 3 === 0
		? [{op: 'withdrawKey', keyId: key.id}]
		: [
				{op: 'issueKey', key},
				{op: 'takeZoneOut', zone: `zone-${version % 7}`},
			];
}

/** Applies all accepted changes in order to one state: the reference model. */
function referenceState(changes: readonly ConfigChange[]): ConfigState {
	let state = ConfigState.empty();
	for (const change of changes) {
		const result = state.applyChange(change);
		assert.equal(result.kind, 'applied');
		state = result.state;
	}

	return state;
}

/**
 * Creates a simulation. Whenever a process advances, the simulation asserts that it advances from its previous version to
 * a newer one and that its replica has the new version.
 */
export function createSimulation(
	processCount: number,
	fleetSeed: number,
	reportedFleetSize = processCount,
) {
	const highest = new Map<string, number>();
	const fleet = {
		seed: fleetSeed,
		processCount,
		reportedFleetSize,
		regionCount: 2,
		intraRegionDelayMs: 1,
		interRegionDelayMs: 50,
	};
	return SpreadSimulation.create(fleet, (process, from, to) => {
		const name = `${process.id}/${process.incarnation}`;
		assert.ok(to > from && from === (highest.get(name) ?? 0));
		assert.equal(process.replica.state.version, to);
		highest.set(name, to);
	});
}

function performStep(simulation: SpreadSimulation, {action}: Step): void {
	const count = simulation.processes.length;
	switch (action.kind) {
		case 'change': {
			simulation.change(
				action.author % count,
				opsOf(simulation.acceptedVersion + 1),
				action.isResponseLost,
			);
			break;
		}

		case 'restart': {
			simulation.restart(action.process % count);
			break;
		}

		case 'faults': {
			simulation.faults = action.faults;
			break;
		}
	}
}

/** Runs a schedule, then restores the store, submits one more change and asserts that it converges in time. */
function runSchedule(
	simulation: SpreadSimulation,
	steps: readonly Step[],
	isResponseLost: boolean,
): void {
	for (const item of steps) {
		performStep(simulation, item);
		simulation.clock.advance(item.waitMs);
	}

	simulation.faults = healedFaults;
	simulation.change(0, opsOf(simulation.acceptedVersion + 1), isResponseLost);
	simulation.clock.advance(convergenceLimitMs);
	assertConverged(simulation);
}

/** Asserts that each process is ready and has exactly the accepted state. */
export function assertConverged(simulation: SpreadSimulation): void {
	const expected = referenceState(simulation.accepted).toSnapshot();
	for (const process of simulation.processes) {
		assert.ok(process.isReady, `${process.id} is not ready`);
		assert.deepEqual(process.replica.state.toSnapshot(), expected);
	}
}

/**
 * Checks convergence under arbitrary schedules of changes, restarts, message loss and store faults.
 * @throws Error with the seed and the shortest failing schedule found
 */
export function checkConvergenceUnderFaults(
	seed: number,
	scheduleCount: number,
): void {
	const property = fc.property(
		fc.integer({min: 2, max: 12}),
		fc.integer(),
		fc.array(step, {maxLength: 12}),
		(processCount, fleetSeed, steps) => {
			runSchedule(createSimulation(processCount, fleetSeed), steps, true);
		},
	);
	fc.assert(property, {seed, numRuns: scheduleCount});
}

/**
 * Checks convergence where each process polls the store as rarely as in a large fleet, so exchanges must do the work.
 * @throws Error with the seed and the shortest failing schedule found
 */
export function checkConvergenceWithRarePolls(
	seed: number,
	scheduleCount: number,
): void {
	const property = fc.property(
		fc.integer({min: 9, max: 24}),
		fc.integer(),
		fc.array(changeOrLoss, {maxLength: 8}),
		(processCount, fleetSeed, steps) => {
			const simulation = createSimulation(
				processCount,
				fleetSeed,
				largeFleetSize,
			);
			simulation.clock.advance(startMs);
			runSchedule(simulation, steps, false);
		},
	);
	fc.assert(property, {seed, numRuns: scheduleCount});
}
