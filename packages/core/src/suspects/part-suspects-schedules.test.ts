import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	PartSuspectsSimulation,
	type BadTraffic,
	type Outcome,
	type Scenario,
} from './part-suspects-simulation.testing.js';

/** Seeds of each scenario. */
const schedules = 20;

/** Time after the fifth crash from which entries that hear each other know of it, in milliseconds. */
const contactMs = 3000;

const part = 'chat/bad';
const trafficFrom = 8000;

const calm: Scenario = {
	entryCount: 8,
	engineCount: 13,
	durationMs: 60_000,
	soundPerS: 30,
	bad: [],
	herds: [],
	restarts: [],
	maxGossipMs: 150,
	gossipLoss: 0.1,
	silentShare: 0.3,
	evidence: 'begun',
};

type Check = {
	readonly changes: Partial<Scenario>;
	/** Maximum share of sound requests that are refused, over all seeds and in one of them. */
	readonly maxRefused: number;
	readonly maxRefusedOfSeed: number;
	/** Time from which the calls to a bad part are counted, if later than by the rule, in milliseconds. */
	readonly countedFrom?: number;
	readonly count?: number;
};

function bad(perS: number, changes: Partial<BadTraffic> = {}): BadTraffic {
	return {part, perS, from: trafficFrom, to: calm.durationMs, ...changes};
}

/** Counts the requests with a bad part that were sent too late. */
function countLateSends(outcome: Outcome, countedFrom: number): number {
	const counts = [...outcome.crashes]
		.filter(([, crashes]) => crashes.length >= 5)
		.map(([badPart, crashes]) => {
			const from = Math.max(crashes[4]! + contactMs, countedFrom);
			return outcome.badSends.get(badPart)!.filter(at => at > from).length;
		});
	return Math.max(0, ...counts);
}

function runSchedules({
	changes,
	maxRefused,
	maxRefusedOfSeed,
	countedFrom = 0,
	count = schedules,
}: Check): void {
	const scenario = {...calm, ...changes};
	let sound = 0;
	let refused = 0;
	for (let seed = 1; seed <= count; seed++) {
		const outcome = PartSuspectsSimulation.run(scenario, seed);
		const late = countLateSends(outcome, countedFrom);
		assert.ok(late <= 3, `seed ${seed}: ${late} sends of a bad part too late`);
		const share = outcome.refusedSound / outcome.sound;
		assert.ok(
			share <= maxRefusedOfSeed,
			`seed ${seed}: ${outcome.refusedSound} of ${outcome.sound} refused`,
		);
		for (const {part} of scenario.bad) {
			assert.ok(
				outcome.crashes.has(part),
				`seed ${seed}: no server ended under ${part}`,
			);
		}

		sound += outcome.sound;
		refused += outcome.refusedSound;
	}

	assert.ok(
		refused <= maxRefused * sound,
		`${refused} of ${sound} sound requests refused`,
	);
}

function herds(
	times: readonly number[],
	share: number,
	spreadMs: number,
): Pick<Scenario, 'herds'> {
	return {herds: times.map(at => ({at, share, spreadMs}))};
}

// Each guards against more than three requests with a part that ends servers later than 3 s after the fifth end (rule
// BUDGET), and against sound requests that are refused for it for long (rule LOST).
describe('PartSuspects in schedules', () => {
	describe('with a bad part', () => {
		const shares = {maxRefused: 0.01, maxRefusedOfSeed: 0.2};
		for (const perS of [2, 5, 10]) {
			it(`sends it no more at ${perS} requests a second`, () => {
				runSchedules({changes: {bad: [bad(perS)]}, ...shares});
			});
		}

		it('sends it no more if all servers end at once', () => {
			runSchedules({
				changes: {engineCount: 8, bad: [bad(10)]},
				maxRefused: 0.01,
				maxRefusedOfSeed: 0.5,
			});
		});

		for (const silentShare of [0, 1]) {
			it(`sends it no more if ${silentShare === 0 ? 'all' : 'no'} ends are known at once`, () => {
				runSchedules({changes: {silentShare, bad: [bad(5)]}, ...shares});
			});
		}

		it('sends it no more from 22 entries to 21 engines', () => {
			runSchedules({
				changes: {
					entryCount: 22,
					engineCount: 21,
					soundPerS: 60,
					bad: [bad(10)],
				},
				...shares,
				count: 20,
			});
		});

		it('sends two of them no more', () => {
			runSchedules({
				changes: {bad: [bad(5), bad(5, {part: 'chat/bad2'})]},
				...shares,
			});
		});

		it('sends two that come together no more', () => {
			runSchedules({
				changes: {
					bad: [
						bad(5, {others: ['chat/first', 'chat/m0', 'chat/bad2']}),
						bad(1, {part: 'chat/bad2'}),
					],
				},
				...shares,
			});
		});

		it('sends it no more if its route has no other requests', () => {
			runSchedules({
				changes: {bad: [bad(5, {others: ['chat/first2']})]},
				...shares,
			});
		});

		it('sends it no more as entries start anew', () => {
			runSchedules({
				changes: {bad: [bad(5)], restarts: [14_000, 25_000, 40_000]},
				...shares,
			});
		});

		it('sends it no more once two halves hear each other again', () => {
			runSchedules({
				changes: {bad: [bad(5)], cut: {from: 6000, to: 30_000}},
				...shares,
				countedFrom: 30_000 + contactMs,
			});
		});

		it('sends it no more over minutes', () => {
			const durationMs = 200_000;
			runSchedules({
				changes: {durationMs, soundPerS: 15, bad: [bad(5, {to: durationMs})]},
				...shares,
				count: 30,
			});
		});

		it('sends it no more as all servers end for another reason too', () => {
			runSchedules({
				changes: {bad: [bad(5)], ...herds([20_000], 1, 1000)},
				...shares,
			});
		});
	});

	// Guards against sound parts that are refused since servers end without any bad part.
	describe('without a bad part', () => {
		const durationMs = 30_000;
		const shares = {maxRefused: 0.002, maxRefusedOfSeed: 0.02};
		for (const spreadMs of [50, 1600]) {
			it(`serves on after all or half of the servers end within ${spreadMs} ms`, () => {
				for (const share of [1, 0.5]) {
					runSchedules({
						changes: {durationMs, ...herds([10_000], share, spreadMs)},
						...shares,
					});
				}
			});
		}

		for (const gapMs of [2000, 4000, 10_000]) {
			it(`serves on after three herds of ends ${gapMs} ms apart`, () => {
				const times = [0, 1, 2].map(i => 10_000 + i * gapMs);
				runSchedules({
					changes: herds(times, 1, 50),
					maxRefused: 0.002,
					maxRefusedOfSeed: 0.2,
				});
				runSchedules({changes: herds(times, 0.5, 50), ...shares});
			});
		}

		it('serves on as connections of two servers are reset', () => {
			const resets = {from: 10_000, to: 15_000, share: 0.4, engineCount: 2};
			runSchedules({changes: {durationMs, resets}, ...shares});
		});

		it('serves on as a server is restarted each second', () => {
			runSchedules({
				changes: {durationMs, release: {from: 10_000, everyMs: 1000}},
				...shares,
			});
		});

		// Guards against many parts seen once that make the shared ones suspect, or use up the memory.
		it('serves on as an attacker ends a server now and then, with parts seen once', () => {
			runSchedules({
				changes: {durationMs, attacker: {perS: 0.7, parts: 14}},
				...shares,
			});
		});
	});
});
