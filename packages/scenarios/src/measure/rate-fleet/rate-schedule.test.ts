import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {RateSchedule, allFaults, shortLeaseTimes} from './rate-schedule.js';

const seed = 20_260_109;
const runs = 1000;
const policy = {
	kind: 'shards',
	shardsPerCustomer: 3,
	times: shortLeaseTimes,
} as const;

describe('rate limit shared by several entries', () => {
	describe('with kills, pauses, network partitions, store outages, lost messages and changed limits', () => {
		it('never exceeds one global token bucket in any window', () => {
			fc.assert(
				fc.property(fc.nat(), fc.subarray([...allFaults]), (n, faults) => {
					const {excess} = RateSchedule.create(n, faults, policy).run();
					assert.equal(excess, undefined);
				}),
				{seed, numRuns: runs},
			);
		});
	});
});
