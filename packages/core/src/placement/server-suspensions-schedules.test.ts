import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../common/random.js';
import {ListFollower} from './list-follower.testing.js';
import {ServerSchedule, type ServerProcess} from './server-schedule.testing.js';

const schedules = 200;
const eventfulMs = 12_000;
const quietMs = 8000;
const readMs = 200;
/** Bounds of the rule: requests of one machine from this time after the answer until the end of the rest. */
const graceMs = 500;
const maxRequests = 2;

type Disturbance = 'flap' | 'rename' | 'move' | 'restart' | 'rewind';
const disturbances: readonly Disturbance[] = [
	'flap',
	'flap',
	'flap',
	'rename',
	'move',
	'restart',
	'rewind',
];

function disturb(
	kind: Disturbance,
	schedule: ServerSchedule,
	process: ServerProcess,
	now: number,
): void {
	const {id, address} = process;
	const born = process.born === undefined ? undefined : now;
	switch (kind) {
		case 'flap': {
			schedule.flap(process, schedule.between(100, 3000), now);
			break;
		}

		case 'rename': {
			schedule.end(process, now);
			schedule.start({id: `${id}+`, address, born}, now);
			break;
		}

		case 'move': {
			// The server is the same one, so its rest goes on.
			const moved = {...process, address: `${address}+`};
			schedule.end(process, now);
			schedule.start(moved, now);
			break;
		}

		case 'restart': {
			schedule.start({id, address, born}, now);
			break;
		}

		case 'rewind': {
			schedule.rewind(schedule.between(100, 3000), now);
			break;
		}
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

	const randomProcess = () => {
		const alive = schedule.processes.filter(({isAlive}) => isAlive);
		return alive[Math.floor(random() * alive.length)]!;
	};

	for (let i = 0; i < 8; i++) {
		schedule.at(schedule.between(500, eventfulMs), now => {
			randomProcess().rest = {
				forMs: schedule.between(200, 5000),
				until: now + schedule.between(100, 1000),
			};
		});
		const kind = disturbances[Math.floor(random() * disturbances.length)]!;
		schedule.at(schedule.between(500, eventfulMs), now => {
			disturb(kind, schedule, randomProcess(), now);
		});
	}

	schedule.play(eventfulMs + quietMs, readMs);
	for (const {entry, process, at: answeredAt, restMs} of schedule.rests) {
		const inRest = schedule.arrivals.filter(
			arrival =>
				arrival.entry === entry &&
				arrival.process.id === process.id &&
				arrival.at >= answeredAt + graceMs &&
				arrival.at < answeredAt + restMs,
		);
		assert.ok(
			inRest.length <= maxRequests,
			`${process.id} asked entry ${entry} for ${restMs} ms at ${answeredAt} ms and got ${inRest.length}, at ${inRest.map(({at}) => at).join(', ')} ms`,
		);
	}

	const end = eventfulMs + quietMs;
	for (const {id, isAlive} of schedule.processes) {
		for (const {fleet} of entries) {
			assert.equal(fleet.isUsable(id, end), isAlive, `${id} at the end`);
		}
	}

	return schedule.rests.length;
}

describe('servers that turn requests away for a time while the list changes', () => {
	// Guards against a server's wish for rest that is forgotten with its row (BUDGET).
	it(`get at most two requests of an entry meanwhile, and are used again after it (${schedules} schedules)`, () => {
		let rests = 0;
		for (let seed = 1; seed <= schedules; seed++) {
			try {
				rests += play(seed);
			} catch (error) {
				throw new Error(`seed ${seed}: ${String(error)}`, {cause: error});
			}
		}

		assert.ok(rests > 10 * schedules, `${rests} rests`);
	});
});
