import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	assertConverged,
	convergenceLimitMs,
	checkConvergenceUnderFaults,
	checkConvergenceWithRarePolls,
	createSimulation,
	healedFaults,
	opsOf,
} from './spread-schedules.js';

const seed = 20_260_109;
const scheduleCount = 1000;

describe('propagation of configuration changes', () => {
	describe('under arbitrary faults, compared with the reference model', () => {
		it('never goes back to an older version and converges within 5 seconds', () => {
			checkConvergenceUnderFaults(seed, scheduleCount);
		});

		it('converges within 5 seconds without relying on store polls', () => {
			checkConvergenceWithRarePolls(seed, scheduleCount);
		});
	});

	describe('with the store down at the start', () => {
		it('keeps all processes unready while no peer is ready', () => {
			const simulation = createSimulation(4, 1);
			simulation.faults = {...healedFaults, isStoreDown: true};
			simulation.clock.advance(20_000);
			assert.ok(simulation.processes.every(({isReady}) => !isReady));
		});

		it("starts a process with its peers' latest version", () => {
			const simulation = createSimulation(4, 2);
			simulation.clock.advance(3000);
			simulation.change(0, opsOf(1));
			simulation.clock.advance(3000);
			simulation.faults = {...healedFaults, isStoreDown: true};
			simulation.restart(3);
			simulation.clock.advance(convergenceLimitMs);
			assert.equal(simulation.processes[3]?.isReady, true);
			assert.equal(simulation.processes[3].replica.state.version, 1);
		});
	});

	describe('with a region partitioned for an hour', () => {
		it('converges within 5 seconds after the partition heals', () => {
			const simulation = createSimulation(9, 3);
			simulation.clock.advance(3000);
			simulation.faults = {...healedFaults, lossShare: 0, partitionedRegion: 1};
			for (let i = 0; i < 2500; i++) {
				simulation.change(0, opsOf(i + 1));
				simulation.clock.advance(1440);
			}

			assert.equal(simulation.processes[1]?.replica.state.version, 0);
			simulation.faults = healedFaults;
			simulation.clock.advance(convergenceLimitMs);
			assertConverged(simulation);
		});
	});
});
