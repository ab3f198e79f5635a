import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	assertCaughtUp,
	catchUpMs,
	checkUnderFaults,
	checkWithRarePolls,
	createFleet,
	healed,
	opsOf,
} from './spread-schedules.js';

const seed = 20_260_109;
const scheduleCount = 1000;

describe('spread of the configuration', () => {
	describe('against one variable, under arbitrary faults', () => {
		it('never goes back and catches up within the bound', () => {
			checkUnderFaults(seed, scheduleCount);
		});

		it('does so where polls are too rare to help', () => {
			checkWithRarePolls(seed, scheduleCount);
		});
	});

	describe('with the store down at the start', () => {
		it('serves nothing before a peer that serves has answered', () => {
			const simulation = createFleet(4, 1);
			simulation.faults = {...healed, isStoreDown: true};
			simulation.clock.advance(20_000);
			assert.ok(simulation.processes.every(({isReady}) => !isReady));
		});

		it("serves with its peers' highest version", () => {
			const simulation = createFleet(4, 2);
			simulation.clock.advance(3000);
			simulation.change(0, opsOf(1));
			simulation.clock.advance(3000);
			simulation.faults = {...healed, isStoreDown: true};
			simulation.restart(3);
			simulation.clock.advance(catchUpMs);
			assert.equal(simulation.processes[3]?.isReady, true);
			assert.equal(simulation.processes[3].replica.state.version, 1);
		});
	});

	describe('with a region cut for an hour', () => {
		it('catches up within the bound after the cut', () => {
			const simulation = createFleet(9, 3);
			simulation.clock.advance(3000);
			simulation.faults = {...healed, lossShare: 0, cutRegion: 1};
			for (let i = 0; i < 2500; i++) {
				simulation.change(0, opsOf(i + 1));
				simulation.clock.advance(1440);
			}

			assert.equal(simulation.processes[1]?.replica.state.version, 0);
			simulation.faults = healed;
			simulation.clock.advance(catchUpMs);
			assertCaughtUp(simulation);
		});
	});
});
