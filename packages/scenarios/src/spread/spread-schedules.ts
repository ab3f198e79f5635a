/** Schedules of faults against which the spread of the configuration is held to one variable. */
import assert from 'node:assert/strict';
import {ConfigState, type ConfigChange, type ConfigOp} from '@balsamtray/core';
import fc from 'fast-check';
import {SpreadSimulation} from './spread-simulation.js';
import type {SpreadFaults} from './types.js';

/** A change is in force everywhere within this time of its acceptance with the store up. */
export const catchUpMs = 5000;

/** A fleet so large that a process polls the store every two minutes. */
const largeFleet = 12_000;
const startMs = 3000;

const change = fc.record({
	kind: fc.constant('change' as const),
	author: fc.nat(39),
	isAnswerLost: fc.boolean(),
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
const loss = fc.record({
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
	action: fc.oneof(change, restart, loss),
});

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/** The store is up, and half of the messages are lost each way. */
export const healed: SpreadFaults = {
	lossShare: 0.5,
	isStoreDown: false,
	storeDelayMs: 5,
	storeLossShare: 0,
};

/** Operations of the change with the version. */
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

function reference(changes: readonly ConfigChange[]): ConfigState {
	let state = ConfigState.empty();
	for (const change of changes) {
		const result = state.applyChange(change);
		assert.equal(result.kind, 'applied');
		state = result.state;
	}

	return state;
}

/** A fleet whose processes are checked at each step forward. */
export function createFleet(
	processCount: number,
	fleetSeed: number,
	reportedCount = processCount,
) {
	const highest = new Map<string, number>();
	const fleet = {
		seed: fleetSeed,
		processCount,
		reportedCount,
		regionCount: 2,
		nearDelayMs: 1,
		farDelayMs: 50,
	};
	return SpreadSimulation.create(fleet, (process, from, to) => {
		const name = `${process.id}/${process.incarnation}`;
		assert.ok(to > from && from === (highest.get(name) ?? 0));
		assert.equal(process.replica.state.version, to);
		highest.set(name, to);
	});
}

function perform(simulation: SpreadSimulation, {action}: Step): void {
	const count = simulation.processes.length;
	switch (action.kind) {
		case 'change': {
			simulation.change(
				action.author % count,
				opsOf(simulation.acceptedVersion + 1),
				action.isAnswerLost,
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

/** Runs a schedule, mends the store and accepts one more change, whose spread is timed. */
function run(
	simulation: SpreadSimulation,
	steps: readonly Step[],
	isAnswerLost: boolean,
): void {
	for (const item of steps) {
		perform(simulation, item);
		simulation.clock.advance(item.waitMs);
	}

	simulation.faults = healed;
	simulation.change(0, opsOf(simulation.acceptedVersion + 1), isAnswerLost);
	simulation.clock.advance(catchUpMs);
	assertCaughtUp(simulation);
}

/** Each process serves exactly what was accepted. */
export function assertCaughtUp(simulation: SpreadSimulation): void {
	const expected = reference(simulation.accepted).toSnapshot();
	for (const process of simulation.processes) {
		assert.ok(process.isReady, `${process.id} is not ready`);
		assert.deepEqual(process.replica.state.toSnapshot(), expected);
	}
}

/**
 * Runs arbitrary schedules of changes, restarts, losses and faults of the store.
 * @throws Error with the seed and the smallest schedule that fails.
 */
export function checkUnderFaults(seed: number, scheduleCount: number): void {
	const property = fc.property(
		fc.integer({min: 2, max: 12}),
		fc.integer(),
		fc.array(step, {maxLength: 12}),
		(processCount, fleetSeed, steps) => {
			run(createFleet(processCount, fleetSeed), steps, true);
		},
	);
	fc.assert(property, {seed, numRuns: scheduleCount});
}

/**
 * Runs schedules in which each process polls the store as rarely as in a large fleet.
 * @throws Error with the seed and the smallest schedule that fails.
 */
export function checkWithRarePolls(seed: number, scheduleCount: number): void {
	const property = fc.property(
		fc.integer({min: 9, max: 24}),
		fc.integer(),
		fc.array(changeOrLoss, {maxLength: 8}),
		(processCount, fleetSeed, steps) => {
			const simulation = createFleet(processCount, fleetSeed, largeFleet);
			simulation.clock.advance(startMs);
			run(simulation, steps, false);
		},
	);
	fc.assert(property, {seed, numRuns: scheduleCount});
}
