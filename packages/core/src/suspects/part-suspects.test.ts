import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	briefQuarantineMs,
	endTtlMs,
	jointTrialDelayMs,
	maxPartLength,
	maxPartsPerRequest,
	maxTrackedParts,
	noProgressMs,
	startsUntilQuarantine,
	trialBaseMs,
	trialFactor,
} from './constants.js';
import {PartSuspects} from './part-suspects.js';
import type {PartVerdict} from './types.js';

const part = 'chat/bad';
const t0 = 1_000_000;

type CheckChanges = {readonly isRepeat?: boolean; readonly isOwner?: boolean};

function check(
	suspects: PartSuspects,
	now: number,
	parts: readonly string[] = [part],
	{isRepeat = false, isOwner = true}: CheckChanges = {},
): PartVerdict {
	return suspects.check(parts, {isRepeat, isOwner: () => isOwner}, now);
}

/** Notes ends of different servers, one second apart, the last at `at`. */
function noteMoments(
	suspects: PartSuspects,
	count: number,
	at: number,
	parts: readonly string[] = [part],
): void {
	for (let i = count - 1; i >= 0; i--) {
		const endedAt = at - i * 1000;
		suspects.noteEnds(parts, `s${i}@${endedAt}`, endedAt, endedAt);
	}
}

function createQuarantined(at = t0): PartSuspects {
	const suspects = PartSuspects.create();
	noteMoments(suspects, 3, at);
	return suspects;
}

describe('PartSuspects', () => {
	describe('evidence', () => {
		// Guards against a part that goes on to end servers.
		it('quarantines a part after three moments', () => {
			const suspects = PartSuspects.create();
			noteMoments(suspects, 2, t0);
			assert.equal(check(suspects, t0).kind, 'allowed');
			suspects.noteEnds([part], 'late@1', t0 + 1000, t0 + 1000);
			assert.deepEqual(check(suspects, t0 + 1000), {
				kind: 'quarantined',
				part,
				retryAfterMs: trialBaseMs,
			});
			assert.equal(suspects.isQuarantined(part, t0 + 1000), true);
			assert.deepEqual(suspects.quarantined(t0 + 1000), [part]);
		});

		// Guards against a sound part that is quarantined as some servers are lost under it at one moment.
		it('counts ends of one moment once', () => {
			const suspects = PartSuspects.create();
			for (let i = 0; i < startsUntilQuarantine - 2; i++) {
				suspects.noteEnds([part], `s${i}@1`, t0 + i * 80, t0 + i * 80);
			}

			suspects.noteEnds([part], 'other@1', t0 + 2000, t0 + 2000);
			assert.equal(check(suspects, t0 + 2000).kind, 'allowed');
		});

		// Guards against a sound part that is quarantined as a rack is lost under it, though other servers answer.
		it('waits for answers after many ends of one moment', () => {
			const suspects = PartSuspects.create();
			for (let i = 0; i < 40; i++) {
				suspects.noteEnds([part], `s${i}@1`, t0 + i * 6, t0 + i * 6);
			}

			assert.equal(check(suspects, t0 + noProgressMs - 1).kind, 'allowed');
			suspects.noteProgress([part], t0 + 250, t0 + noProgressMs - 1);
			assert.equal(check(suspects, t0 + noProgressMs).kind, 'allowed');
			suspects.noteEnds([part], 'other@1', t0 + 2000, t0 + 2000);
			assert.equal(check(suspects, t0 + 2000).kind, 'allowed');
		});

		// Guards against a bad part that ends all servers at one moment, and again as soon as they are back.
		it('quarantines briefly after many ends without an answer since', () => {
			const suspects = PartSuspects.create();
			for (let i = 0; i < startsUntilQuarantine; i++) {
				suspects.noteEnds([part], `s${i}@1`, t0, t0);
			}

			assert.deepEqual(check(suspects, t0 + noProgressMs), {
				kind: 'quarantined',
				part,
				retryAfterMs: briefQuarantineMs - noProgressMs,
			});
			const due = t0 + briefQuarantineMs;
			assert.equal(check(suspects, due).kind, 'trial');
			suspects.startTrial(part, due);
			suspects.noteEnds([part], 'trial@1', due + 100, due + 100);
			assert.equal(
				check(suspects, due + 100 + trialBaseMs * trialFactor - 1).kind,
				'quarantined',
			);
		});

		// Guards against moments that grow without end under steady ends, so that they never become three.
		it('begins another moment by the first end of the one before', () => {
			const suspects = PartSuspects.create();
			for (let i = 0; i < startsUntilQuarantine - 1; i++) {
				suspects.noteEnds([part], `s${i}@1`, t0 + i * 200, t0 + i * 200);
			}

			const isRepeat = true;
			assert.equal(
				check(suspects, t0 + 600, [part], {isRepeat}).kind,
				'quarantined',
			);
		});

		// Guards against a sound part that is quarantined as three entries learn of one end at different times.
		it('counts ends of one start once', () => {
			const suspects = PartSuspects.create();
			assert.equal(suspects.noteEnds([part], 's@1', t0, t0).length, 1);
			for (let i = 1; i < 5; i++) {
				const at = t0 + i * 1000;
				assert.deepEqual(suspects.noteEnds([part], 's@1', at, at), []);
			}

			assert.equal(check(suspects, t0 + 5000).kind, 'allowed');
		});

		// Guards against a large herd that pushes out the earlier moments of a part.
		it('keeps earlier moments when many servers end at one', () => {
			const suspects = PartSuspects.create();
			noteMoments(suspects, 2, t0);
			for (let i = 0; i < 100; i++) {
				suspects.noteEnds([part], `herd${i}@1`, t0 + 2000, t0 + 2000);
			}

			assert.equal(check(suspects, t0 + 2000).kind, 'quarantined');
			assert.equal(suspects.entries(t0 + 2000)[0]!.ends.length, 32);
		});

		// Guards against evidence that stays for ever.
		it('forgets ends after their time', () => {
			const suspects = createQuarantined();
			const isOwner = false;
			assert.equal(
				check(suspects, t0 + endTtlMs, [part], {isOwner}).kind,
				'quarantined',
			);
			assert.equal(
				check(suspects, t0 + endTtlMs + 1, [part], {isOwner}).kind,
				'allowed',
			);
			assert.deepEqual(suspects.entries(t0 + endTtlMs + 1), []);
		});

		// Guards against three unrelated ends within an hour that quarantine a rarely used part.
		it('does not count ends together that are far apart', () => {
			const suspects = PartSuspects.create();
			for (let i = 0; i < 3; i++) {
				const at = t0 + i * 0.6 * endTtlMs;
				suspects.noteEnds([part], `s${i}@1`, at, at);
			}

			assert.equal(suspects.isQuarantined(part, t0 + 1.2 * endTtlMs), false);
		});
	});

	describe('progress', () => {
		// Guards against a sound part that stays under quarantine although answers with it go on.
		it('clears ends before the begin of the answer', () => {
			const suspects = createQuarantined();
			assert.deepEqual(
				suspects.noteProgress([part, 'chat/other'], t0 + 1, t0 + 500),
				[part],
			);
			assert.equal(check(suspects, t0 + 500).kind, 'allowed');
			assert.deepEqual(suspects.noteProgress([part], t0 + 2, t0 + 600), []);
		});

		// Guards against a part that turns bad and is cleared again and again by older answers under way.
		it('keeps ends after the begin of the answer', () => {
			const suspects = createQuarantined();
			assert.deepEqual(suspects.noteProgress([part], t0 - 3000, t0 + 500), []);
			assert.equal(check(suspects, t0 + 500).kind, 'quarantined');
		});

		// Guards against a late report of an end that makes a part suspect which has answered since.
		it('ignores ends that are reported after a newer answer', () => {
			const suspects = PartSuspects.create();
			suspects.noteProgress([part], t0, t0 + 100);
			assert.deepEqual(suspects.noteEnds([part], 's@1', t0 - 50, t0 + 200), []);
			assert.deepEqual(suspects.entries(t0 + 200), []);
		});

		// Guards against entries that keep a quarantine which another one's answers disprove.
		it('of another entry clears too', () => {
			const suspects = createQuarantined();
			suspects.noteCleared(part, t0 + 1, t0 + 300);
			assert.equal(check(suspects, t0 + 300).kind, 'allowed');
		});
	});

	describe('repeats', () => {
		// Guards against one request that ends the next server with each retry.
		it('are refused after two moments', () => {
			const suspects = PartSuspects.create();
			const isRepeat = true;
			noteMoments(suspects, 1, t0);
			assert.equal(check(suspects, t0, [part], {isRepeat}).kind, 'allowed');
			suspects.noteEnds([part], 'second@1', t0 + 1000, t0 + 1000);
			assert.equal(
				check(suspects, t0 + 1000, [part], {isRepeat}).kind,
				'quarantined',
			);
			assert.equal(check(suspects, t0 + 1000, [part]).kind, 'allowed');
		});
	});

	describe('trials', () => {
		// Guards against a trial with a request that was already at a server that ended.
		it('are not repeats', () => {
			const suspects = createQuarantined();
			const due = t0 + trialBaseMs;
			assert.equal(
				check(suspects, due, [part], {isRepeat: true}).kind,
				'quarantined',
			);
		});

		// Guards against a quarantine that each entry tries on its own.
		it('start only at the owner, once due', () => {
			const suspects = createQuarantined();
			const due = t0 + trialBaseMs;
			assert.equal(check(suspects, due - 1).kind, 'quarantined');
			assert.deepEqual(check(suspects, due, [part], {isOwner: false}), {
				kind: 'quarantined',
				part,
				retryAfterMs: 1000,
			});
			assert.deepEqual(check(suspects, due), {kind: 'trial', part});
		});

		// Guards against a second trial while the first one waits in a queue, or right after it.
		it('are four times further apart each', () => {
			const suspects = createQuarantined();
			let due = t0 + trialBaseMs;
			for (let i = 1; i <= 3; i++) {
				assert.equal(check(suspects, due).kind, 'trial');
				suspects.startTrial(part, due);
				const endAt = due + 300;
				suspects.noteEnds([part], `trial${i}@1`, endAt, endAt);
				due = endAt + trialBaseMs * trialFactor ** i;
				assert.equal(check(suspects, due - 1).kind, 'quarantined');
			}
		});

		// Guards against trials one after the other if nothing is heard of them.
		it('count from their start if no end follows', () => {
			const suspects = createQuarantined();
			const at = t0 + 60_000;
			assert.equal(check(suspects, at).kind, 'trial');
			suspects.startTrial(part, at);
			const second = at + trialBaseMs;
			assert.equal(check(suspects, second - 1).kind, 'quarantined');
			assert.equal(check(suspects, second).kind, 'trial');
			suspects.startTrial(part, second);
			const third = second + trialBaseMs * trialFactor;
			assert.equal(check(suspects, third - 1).kind, 'quarantined');
			assert.equal(check(suspects, third).kind, 'trial');
		});

		// Guards against a budget overrun within a day: the ends of the quarantine's begin would be forgotten first.
		it('keep the part under quarantine beyond the time of its first ends', () => {
			const suspects = createQuarantined();
			let at = t0 + 100_000;
			const trialAts: number[] = [];
			for (; at < t0 + 3_600_000; at += 1000) {
				const {kind} = check(suspects, at);
				assert.notEqual(kind, 'allowed');
				if (kind === 'trial') {
					suspects.startTrial(part, at);
					suspects.noteEnds([part], `t@${at}`, at + 100, at + 100);
					trialAts.push(at);
				}
			}

			assert.ok(trialAts.length <= 9, `${trialAts.length} trials in an hour`);
		});

		// Guards against a sound part that is held under quarantine though its trial went well.
		it('that go well clear the part and the count of trials', () => {
			const suspects = createQuarantined();
			const due = t0 + trialBaseMs;
			suspects.startTrial(part, due);
			assert.deepEqual(suspects.noteProgress([part], due + 100, due + 150), [
				part,
			]);
			assert.equal(check(suspects, due + 150).kind, 'allowed');
			suspects.noteEnds([part], 'next@1', due + 1000, due + 1000);
			assert.equal(check(suspects, due + 1000).kind, 'allowed');
			assert.equal(suspects.entries(due + 1000)[0]!.trials, 0);
		});

		// Guards against trials of a sound part with requests that hold the bad one too.
		it('use a request with one quarantined part first', () => {
			const suspects = PartSuspects.create();
			const other = 'chat/other';
			noteMoments(suspects, 3, t0, [part, other]);
			const due = t0 + trialBaseMs;
			assert.equal(check(suspects, due, [part, other]).kind, 'quarantined');
			assert.deepEqual(check(suspects, due, [other]), {
				kind: 'trial',
				part: other,
			});
		});

		// Guards against a trial of the route's first part with a request whose own part is the bad one.
		it('use requests with fewer suspects earlier', () => {
			const suspects = PartSuspects.create();
			const first = 'chat/first';
			noteMoments(suspects, 3, t0, [first]);
			suspects.noteEnds([part, first], 's0@x', t0, t0);
			const due = t0 + trialBaseMs;
			assert.equal(check(suspects, due, [first, part]).kind, 'quarantined');
			assert.equal(check(suspects, due, [first, 'chat/new']).kind, 'trial');
		});

		// Guards against two sound parts that always come together and stay under quarantine for ten minutes.
		it('use a request with several quarantined parts a while later', () => {
			const suspects = PartSuspects.create();
			const other = 'chat/other';
			noteMoments(suspects, 3, t0, [part, other]);
			const due = t0 + trialBaseMs + jointTrialDelayMs;
			assert.equal(check(suspects, due - 1, [part, other]).kind, 'quarantined');
			assert.equal(check(suspects, due, [part, other]).kind, 'trial');
			suspects.startTrial(part, due);
			for (const started of [[part], [other], [part, other]]) {
				assert.equal(check(suspects, due + 1, started).kind, 'quarantined');
				assert.equal(
					check(suspects, due + trialBaseMs - 1, started).kind,
					'quarantined',
				);
			}

			suspects.noteEnds([part, other], 'trial@1', due + 100, due + 100);
			for (const started of [[part], [other], [part, other]]) {
				assert.equal(
					check(suspects, due + 100 + trialBaseMs * trialFactor - 1, started)
						.kind,
					'quarantined',
				);
			}
		});
	});

	describe('merge', () => {
		const ageMs = 7;

		// Guards against a restarted entry that sends the bad part again.
		it('gives a new entry the quarantine and its trials', () => {
			const known = createQuarantined();
			known.startTrial(part, t0 + trialBaseMs);
			const started = PartSuspects.create();
			const now = t0 + trialBaseMs + 10;
			const entries = known.entries(now);
			assert.deepEqual(started.merge(entries, now + ageMs), [part]);
			assert.deepEqual(started.merge(entries, now + ageMs), []);
			assert.equal(started.digest(now), known.digest(now));
			const due = t0 + 2 * trialBaseMs + 10 + ageMs;
			assert.equal(check(started, due - 11 - ageMs).kind, 'quarantined');
			assert.equal(check(started, due).kind, 'trial');
		});

		// Guards against one end that two entries know, and that counts twice or moves with each message.
		it('is commutative and idempotent up to the ages', () => {
			const a = PartSuspects.create();
			const b = PartSuspects.create();
			a.noteEnds([part], 's1@1', t0, t0);
			a.noteEnds([part], 's2@1', t0 + 1000, t0 + 1000);
			b.noteEnds([part], 's2@1', t0 + 3000, t0 + 3000);
			let now = t0 + 3000;
			for (let i = 0; i < 100; i++) {
				b.merge(a.entries(now), now + ageMs);
				now += ageMs;
				a.merge(b.entries(now), now + ageMs);
				now += ageMs;
			}

			assert.deepEqual(a.quarantined(now), []);
			assert.deepEqual(b.quarantined(now), []);
			b.noteEnds([part], 's3@1', now, now);
			assert.deepEqual(a.merge(b.entries(now), now), [part]);
			assert.deepEqual(
				a.entries(now)[0]!.ends.map(({agoMs}) => now - agoMs),
				[t0, t0 + 1000, now],
			);
			const [s1, s2] = b.entries(now)[0]!.ends;
			assert.ok(Math.abs(now - s1!.agoMs - t0) < 2 * 3000);
			assert.ok(now - s2!.agoMs < t0 + 3000);
		});

		// Guards against a sound part whose next trial is put off by each message.
		it('does not make trials newer', () => {
			const a = createQuarantined();
			const b = PartSuspects.create();
			let now = t0 + trialBaseMs;
			a.startTrial(part, now);
			for (let i = 0; i < 1000; i++) {
				b.merge(a.entries(now), now + ageMs);
				now += ageMs;
				a.merge(b.entries(now), now + ageMs);
				now += ageMs;
			}

			const {trials, trialAgoMs} = a.entries(now)[0]!;
			assert.equal(trials, 1);
			assert.equal(now - trialAgoMs!, t0 + trialBaseMs);
		});

		// Guards against clearances that get newer with each message and so void every new end.
		it('does not make clearances newer', () => {
			const a = PartSuspects.create();
			const b = PartSuspects.create();
			noteMoments(a, 1, t0);
			a.noteProgress([part], t0 + 10, t0 + 20);
			let now = t0 + 100;
			for (let i = 0; i < 1000; i++) {
				b.merge(a.entries(now), now + ageMs);
				now += ageMs;
				a.merge(b.entries(now), now + ageMs);
				now += ageMs;
			}

			const cleared = a.entries(now)[0]!;
			assert.ok(Math.abs(now - cleared.clearedAgoMs! - t0) < 100);
			noteMoments(a, 3, now);
			assert.deepEqual(b.merge(a.entries(now), now), [part]);
		});

		// Guards against a sound part that a cut-off entry's old evidence puts under quarantine again.
		it('does not bring back cleared ends', () => {
			const cutOff = createQuarantined();
			const clearing = createQuarantined();
			clearing.noteProgress([part], t0 + 100, t0 + 200);
			const now = t0 + 5000;
			const stale = cutOff.entries(now);
			assert.deepEqual(clearing.merge(stale, now), []);
			assert.equal(check(clearing, now).kind, 'allowed');
			cutOff.merge(clearing.entries(now), now);
			assert.equal(check(cutOff, now).kind, 'allowed');
		});

		// Guards against old evidence of a part that was in good use here all along, without evidence of its own.
		it('weighs ends against answers seen here', () => {
			const cutOff = createQuarantined();
			const other = PartSuspects.create();
			other.noteProgress([part], t0 + 100, t0 + 200);
			const now = t0 + 5000;
			assert.deepEqual(other.merge(cutOff.entries(now), now), []);
			cutOff.merge(other.entries(now), now);
			assert.equal(cutOff.isQuarantined(part, now), false);
		});
	});

	describe('digest', () => {
		// Guards against entries that never learn that they know different things.
		it('tells different sets and trials apart', () => {
			const suspects = PartSuspects.create();
			noteMoments(suspects, 2, t0);
			assert.equal(suspects.digest(t0), '');
			suspects.noteEnds([part], 'third@1', t0 + 1000, t0 + 1000);
			const one = suspects.digest(t0 + 1000);
			suspects.startTrial(part, t0 + 9000);
			const tried = suspects.digest(t0 + 9000);
			noteMoments(suspects, 3, t0 + 9000, ['chat/other']);
			const two = suspects.digest(t0 + 9000);
			assert.equal(new Set(['', one, tried, two]).size, 4);
		});
	});

	describe('lift', () => {
		// Guards against an operator who can't end a quarantine.
		it('forgets the evidence', () => {
			const suspects = createQuarantined();
			assert.equal(suspects.lift(part, t0), true);
			assert.equal(suspects.lift(part, t0), false);
			assert.equal(suspects.lift('chat/unknown', t0), false);
			assert.equal(check(suspects, t0).kind, 'allowed');
			noteMoments(suspects, 3, t0 + 5000);
			assert.equal(check(suspects, t0 + 5000).kind, 'quarantined');
		});
	});

	describe('bounds', () => {
		// Guards against memory that grows with the parts that were ever answered.
		it('forget the least recent answers', () => {
			const suspects = PartSuspects.create();
			suspects.noteProgress([part, 'chat/kept'], t0, t0);
			for (let i = 0; i < maxTrackedParts - 1; i++) {
				suspects.noteProgress([`chat/${i}`], t0, t0);
			}

			const ends = suspects.noteEnds([part, 'chat/kept'], 's@1', t0 - 1, t0);
			assert.deepEqual(ends, [{part, start: 's@1', at: t0 - 1}]);
		});

		// Guards against an attacker who pushes a quarantined part out by many parts that are seen once.
		it('keep parts with several moments', () => {
			const suspects = createQuarantined();
			const second = 'chat/second';
			noteMoments(suspects, 2, t0, [second]);
			for (let i = 0; i < 3 * maxTrackedParts; i++) {
				const at = t0 + 1 + i / 100;
				suspects.noteEnds([`chat/${i}`], 's@1', at, at);
			}

			const now = t0 + 1000;
			assert.ok(suspects.entries(now).length <= maxTrackedParts);
			assert.equal(suspects.isQuarantined(part, now), true);
			suspects.noteEnds([second], 'third@1', now, now);
			assert.equal(suspects.isQuarantined(second, now), true);
		});

		// Guards against memory that grows with what callers write into one request.
		it('ignore long keys and further parts', () => {
			const suspects = PartSuspects.create();
			const long = 'x'.repeat(maxPartLength + 1);
			const parts = [
				long,
				...Array.from({length: 2 * maxPartsPerRequest}, (_, i) => `chat/${i}`),
			];
			const ends = suspects.noteEnds(parts, 's@1', t0, t0);
			assert.equal(ends.length, maxPartsPerRequest - 1);
			assert.deepEqual(suspects.noteEnds([part], long, t0, t0), []);
			suspects.merge([{part: long, ends: [], trials: 0}], t0);
			suspects.merge(
				[{part: 'chat/0', ends: [{start: long, agoMs: 0}], trials: 0}],
				t0,
			);
			assert.equal(suspects.entries(t0)[0]!.ends.length, 1);
			assert.equal(suspects.entries(t0).length, maxPartsPerRequest - 1);
		});
	});
});
