import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom, type Random} from '../common/random.js';
import {minReturnMs} from './constants.js';
import {ListFollower} from './list-follower.testing.js';
import {ServerSchedule, type ServerProcess} from './server-schedule.testing.js';

const schedules = 200;
const eventfulMs = 12_000;
const quietMs = 8000;
const readMs = 200;
/** Time after an entry got a response that says so within which requests may still reach a leaving server. */
const drainMs = 2000;

/** Lets a server say that it is leaving, its row come and go, and the server end and perhaps start again. */
function leave(schedule: ServerSchedule, id: string, random: Random): void {
	const leavingAt = schedule.between(500, 4000);
	const endedAt = leavingAt + schedule.between(2000, 6000);
	const processOf = () =>
		schedule.processes.find(process => process.id === id)!;
	schedule.at(leavingAt, () => {
		processOf().isLeaving = true;
	});
	for (let i = 0; i < 2; i++) {
		schedule.at(schedule.between(leavingAt, endedAt), now => {
			schedule.flap(processOf(), schedule.between(100, 3000), now);
		});
	}

	if (random() < 0.5) {
		schedule.at(schedule.between(leavingAt + 1000, endedAt - 500), now => {
			schedule.drain(processOf(), now);
		});
	}

	schedule.at(endedAt, now => {
		schedule.end(processOf(), now);
	});
	if (random() < 0.7) {
		// Without a start time, the list tells the next start by its software version, or by the time without a row.
		const hasNewVersion = random() < 0.5;
		const minAbsenceMs = hasNewVersion ? 500 : minReturnMs + 2 * readMs;
		const returnMs = schedule.between(minAbsenceMs, minAbsenceMs + 1500);
		schedule.at(endedAt + returnMs, now => {
			const {address, born} = processOf();
			schedule.start(
				{
					id,
					address,
					born: born === undefined ? undefined : now,
					softwareVersion: hasNewVersion ? 'v2' : 'v1',
				},
				now,
			);
		});
	}
}

function play(seed: number): number {
	const random = createRandom(seed);
	const entries = [0, 1, 2].map(() => new ListFollower());
	const schedule = new ServerSchedule(entries, random);
	for (let i = 0; i < 4; i++) {
		const born = random() < 0.5 ? undefined : 1;
		schedule.start({id: `i${i}`, address: `a${i}`, born}, 0);
	}

	leave(schedule, 'i1', random);
	leave(schedule, 'i2', random);
	if (random() < 0.3) {
		schedule.at(schedule.between(500, eventfulMs), now => {
			schedule.rewind(schedule.between(100, 3000), now);
		});
	}

	schedule.play(eventfulMs + quietMs, readMs);
	const saidAt = new Map<ServerProcess, Map<number, number>>();
	for (const {process, entry, at} of schedule.leavings) {
		const byEntry = saidAt.get(process) ?? new Map<number, number>();
		saidAt.set(process, byEntry.set(entry, byEntry.get(entry) ?? at));
	}

	const late = schedule.arrivals
		.filter(
			({process, entry, at}) =>
				at > (saidAt.get(process)?.get(entry) ?? Infinity) + drainMs,
		)
		.map(({process, entry, at}) => `${process.id} by ${entry} at ${at}`);
	assert.deepEqual(late, []);
	const end = eventfulMs + quietMs;
	for (const {id, isAlive} of schedule.processes) {
		for (const {fleet} of entries) {
			assert.equal(fleet.isUsable(id, end), isAlive, `${id} at the end`);
		}
	}

	return saidAt.size;
}

describe('servers that say in their responses that they are leaving while the list changes', () => {
	// Guards against the leaving of a server that is forgotten with its row (DRAIN).
	it(`get no requests 2 s later, and are used again once they have started anew (${schedules} schedules)`, () => {
		let leavings = 0;
		for (let seed = 1; seed <= schedules; seed++) {
			try {
				leavings += play(seed);
			} catch (error) {
				throw new Error(`seed ${seed}: ${String(error)}`, {cause: error});
			}
		}

		assert.ok(leavings > schedules, `${leavings} leavings`);
	});
});
