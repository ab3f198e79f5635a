import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom, eraGraceMs, type Random} from '@balsamtray/core';
import {EraFleet, type OperatorState} from './store-era.testing.js';

const schedules = 1000;

/** Two readers, and an entry that only sees relayed rows. */
const entryCount = 3;

/** Time in which things happen, in milliseconds. */
const eventfulMs = 4000;

/** Time after that until all entries have the newest statements, in milliseconds. */
const quietMs = eraGraceMs + 3500;

/** Longest time for which an entry is away or cut, or the store is away, in milliseconds. */
const maxAwayMs = 1200;

type Event = {readonly at: number; readonly run: () => void};

/** Draws what happens to a fleet. */
function drawEvents(fleet: EraFleet, random: Random): readonly Event[] {
	const events: Event[] = [];
	const draw = (max: number) => random() * max;
	const drawEntry = () => `entry-${Math.floor(draw(entryCount))}`;
	const add = (at: number, run: () => void) => {
		events.push({at, run});
	};

	const addPair = (begin: () => void, end: () => void) => {
		const at = draw(eventfulMs);
		add(at, begin);
		add(at + draw(maxAwayMs), end);
	};

	for (let i = 0; i < 6; i++) {
		const declare = [
			() => {
				fleet.declareConfig();
			},
			() => {
				fleet.declareAdapterVersion();
			},
			() => {
				fleet.toggleZone();
			},
		][Math.floor(draw(3))]!;
		add(draw(eventfulMs), declare);
	}

	const rewinds = 1 + Math.floor(draw(2));
	for (let i = 0; i < rewinds; i++) {
		const depthMs = draw(eventfulMs * 1.5);
		const laggingZone = [undefined, 'zone-0', 'zone-1'][Math.floor(draw(3))];
		const at = draw(eventfulMs);
		const backAt = at + draw(maxAwayMs);
		add(at, () => {
			fleet.store.isAway = true;
		});
		add(backAt, () => {
			fleet.rewind(depthMs);
			fleet.store.isAway = false;
			fleet.laggingZone = laggingZone;
		});
		const lagEndsAt = backAt + draw(maxAwayMs);
		add(lagEndsAt, () => {
			fleet.laggingZone = undefined;
		});
		if (laggingZone !== undefined && random() < 0.5) {
			// An entry that knows the new era and can't tell it, and then hears only from entries of the earlier one.
			const id = laggingZone === 'zone-0' ? 'entry-1' : 'entry-0';
			const cutAt = backAt + draw(maxAwayMs / 2);
			add(backAt, () => {
				fleet.muted.add(id);
			});
			add(cutAt, () => {
				fleet.cut.add(id);
			});
			add(cutAt + draw(maxAwayMs / 4), () => {
				fleet.declareConfig();
			});
			add(Math.max(cutAt, lagEndsAt) + draw(maxAwayMs), () => {
				fleet.cut.delete(id);
				fleet.muted.delete(id);
			});
		}
	}

	const disturbances = Math.floor(draw(4));
	for (let i = 0; i < disturbances; i++) {
		const id = drawEntry();
		const [begin, end] = [
			[
				() => {
					fleet.stop(id);
				},
				() => {
					fleet.start(id);
				},
			],
			[
				() => {
					fleet.cut.add(id);
				},
				() => {
					fleet.cut.delete(id);
				},
			],
			[
				() => {
					fleet.lagMs.set(id, 800);
				},
				() => {
					fleet.lagMs.delete(id);
				},
			],
		][Math.floor(draw(3))]!;
		addPair(begin!, end!);
	}

	return events.toSorted((a, b) => a.at - b.at);
}

/**
 * Checks that an entry has what the store had at the time of its proof, unless that has changed since. An entry in an
 * earlier era than the store does not know that its proofs no longer count.
 */
function checkProofs(fleet: EraFleet): void {
	const {states, era} = fleet.store;
	for (const {id, lease, view} of fleet.entries.values()) {
		const {provenAt} = lease;
		const last = states.findLastIndex(({at}) => at <= provenAt);
		if (last === -1 || view.version.era < era) {
			continue;
		}

		const own = fleet.stateOf(id)!;
		const hadSince = (has: (state: OperatorState) => boolean) =>
			states.some(({state}, i) => i >= last && has(state));
		assert.ok(
			hadSince(({config}) => own.config >= config),
			`${id} lacks a configuration`,
		);
		assert.ok(
			hadSince(({adapterVersion}) => own.adapterVersion >= adapterVersion),
			`${id} lacks an adapter version`,
		);
		assert.ok(
			own.isZoneOut || hadSince(({isZoneOut}) => !isZoneOut),
			`${id} lacks a zone that is out`,
		);
	}
}

/** Checks that no entry goes back to an older configuration or adapter version in its life. */
function createRegressCheck(fleet: EraFleet): () => void {
	const seen = new Map<unknown, OperatorState>();
	return () => {
		for (const entry of fleet.entries.values()) {
			const own = fleet.stateOf(entry.id)!;
			const before = seen.get(entry);
			assert.ok(own.config >= (before?.config ?? 0), `${entry.id} goes back`);
			assert.ok(
				own.adapterVersion >= (before?.adapterVersion ?? 0),
				`${entry.id} goes back`,
			);
			seen.set(entry, own);
		}
	};
}

async function play(seed: number): Promise<void> {
	const random = createRandom(seed);
	const fleet = EraFleet.create(entryCount, random);
	const checkRegress = createRegressCheck(fleet);
	const check = () => {
		checkProofs(fleet);
		checkRegress();
	};

	fleet.lossRate = random() < 0.5 ? 0.1 : 0;
	for (const {at, run} of drawEvents(fleet, random)) {
		// Steps follow each other in virtual time.
		// eslint-disable-next-line no-await-in-loop
		await fleet.run(Math.max(0, at - fleet.now), check);
		run();
	}

	fleet.lossRate = 0;
	fleet.store.isAway = false;
	await fleet.run(quietMs, check);
	for (const [id, {lease}] of fleet.entries) {
		assert.deepEqual(fleet.stateOf(id), fleet.operatorState, id);
		assert.ok(fleet.now - lease.provenAt < 3500, `${id} has an old proof`);
	}
}

describe('entries of a store that comes back from copies', () => {
	// Guards against versions that are compared without their era, and proofs that are kept over an era.
	it(`have the newest statements in the end, and no proof while they lack one (${schedules} schedules)`, async () => {
		for (let seed = 1; seed <= schedules; seed++) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await play(seed);
			} catch (error) {
				throw new Error(`seed ${seed}: ${String(error)}`, {cause: error});
			}
		}
	});
});
