import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom, eraGraceMs, type Random} from '@balsamtray/core';
import {MemberFleet} from './member-era.testing.js';

const schedules = 1000;
const entryCount = 5;

/** Time until all entries are listed at the start, in milliseconds. */
const startMs = 3000;
/** Time in which things happen after that, in milliseconds. */
const eventfulMs = 4000;
/** Time after that until all entries know each other, in milliseconds. */
const quietMs = eraGraceMs + 4000;
/** Longest time for which an entry is away or cut, or the store is away, in milliseconds. */
const maxAwayMs = 1200;
/** Time from a rewind, or from when it can reach the store, in which an entry has written its row again, in milliseconds. */
const rewriteMs = 2000;

type Event = {readonly at: number; readonly run: () => void};

/** Draws what happens to a fleet, with one or two rewinds. */
function drawEvents(fleet: MemberFleet, random: Random): readonly Event[] {
	const events: Event[] = [];
	const draw = (max: number) => random() * max;
	const addPair = (begin: () => void, end: () => void) => {
		const at = startMs + draw(eventfulMs);
		events.push({at, run: begin}, {at: at + draw(maxAwayMs), run: end});
	};

	const rewinds = 1 + Math.floor(draw(2));
	for (let i = 0; i < rewinds; i++) {
		const depthMs = draw(startMs + eventfulMs);
		addPair(
			() => {
				fleet.store.isAway = true;
			},
			() => {
				fleet.rewind(depthMs);
				fleet.store.isAway = false;
			},
		);
	}

	const disturbances = Math.floor(draw(4));
	for (let i = 0; i < disturbances; i++) {
		const id = `entry-${Math.floor(draw(entryCount))}`;
		if (random() < 0.5) {
			addPair(
				() => {
					fleet.stop(id);
				},
				() => {
					fleet.start(id);
				},
			);
		} else {
			addPair(
				() => {
					fleet.cut.add(id);
				},
				() => {
					fleet.cut.delete(id);
				},
			);
		}
	}

	return events.toSorted((a, b) => a.at - b.at);
}

/** Checks that an entry keeps the running entries that it knew, whatever the store has lost. */
function createKeepCheck(fleet: MemberFleet): () => void {
	const known = new Map<unknown, ReadonlySet<string>>();
	return () => {
		for (const entry of fleet.entries.values()) {
			const members = new Set(fleet.membersOf(entry.id));
			for (const id of known.get(entry) ?? []) {
				assert.ok(members.has(id), `${entry.id} forgets ${id}`);
			}

			known.set(entry, members);
		}
	};
}

async function play(seed: number): Promise<void> {
	const random = createRandom(seed);
	const fleet = MemberFleet.create(entryCount, random);
	const check = createKeepCheck(fleet);
	fleet.lossRate = random() < 0.5 ? 0.1 : 0;
	for (const {at, run} of drawEvents(fleet, random)) {
		// Steps follow each other in virtual time.
		// eslint-disable-next-line no-await-in-loop
		await fleet.run(Math.max(0, at - fleet.now), check);
		run();
	}

	fleet.lossRate = 0;
	await fleet.run(quietMs, check);
	const all = Array.from({length: entryCount}, (_, i) => `entry-${i}`);
	for (const id of all) {
		assert.ok(fleet.store.has(id), `the store lacks ${id}`);
		assert.deepEqual(fleet.membersOf(id), all, id);
	}
}

describe('entries whose members table comes back from copies', () => {
	// Guards against rows that nobody writes again, and against members that are dropped since the store has lost them.
	it(`are all listed again, and no entry forgets another (${schedules} schedules)`, async () => {
		for (let seed = 1; seed <= schedules; seed++) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await play(seed);
			} catch (error) {
				throw new Error(`seed ${seed}: ${String(error)}`, {cause: error});
			}
		}
	});

	// Guards against a stampede on a store that has just come back, and against rows that are written again too late.
	it('write their rows once each within 2 s, spread over a second', async () => {
		for (let seed = 1; seed <= 100; seed++) {
			const fleet = MemberFleet.create(entryCount, createRandom(seed));
			const check = () => undefined;
			// eslint-disable-next-line no-await-in-loop
			await fleet.run(startMs, check);
			fleet.rewind(startMs);
			const before = fleet.writes.length;
			// eslint-disable-next-line no-await-in-loop
			await fleet.run(rewriteMs, check);
			const writes = fleet.writes.slice(before);
			assert.equal(writes.length, entryCount, `seed ${seed}`);
			for (let i = 0; i < entryCount; i++) {
				assert.ok(fleet.store.has(`entry-${i}`), `seed ${seed}: entry-${i}`);
			}
		}
	});
});
