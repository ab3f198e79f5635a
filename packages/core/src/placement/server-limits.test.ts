import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../common/random.js';
import {QuotaLedger} from '../quota/quota-ledger.js';
import {
	serverLimitName,
	ServerLimitRules,
} from '../quota/server-limit-rules.js';
import {ServerLimits} from './server-limits.js';

/** Time over which requests count, in milliseconds, and what the users' rule allows in it. */
const windowMs = 4000;
const allowedFor = (perSecond: number) =>
	1.5 * perSecond * (windowMs / 1000) + 5;

type Load = {
	readonly entries: number;
	/** Limit that the server names at a time in milliseconds; undefined if it names none. */
	readonly limitAt: (now: number) => number | undefined;
	/** Requests a second of each entry for the server. */
	readonly demand: number;
	/** Time at which the owner's process is replaced, in milliseconds. */
	readonly restartAt?: number;
};

/** Times at which requests reach the server. Steps of 10 ms; a response comes after 100 ms, a reply of the owner after 10. */
function play({entries, limitAt, demand, restartAt}: Load): readonly number[] {
	const random = createRandom(7);
	const views = Array.from({length: entries}, () => ServerLimits.create());
	const rules = ServerLimitRules.create();
	const createLedger = (isFirstStart: boolean, now: number) =>
		QuotaLedger.create({isFirstStart, now, slackUnits: () => 11_000});
	let ledger = createLedger(true, 0);
	const arrivals: number[] = [];
	const later: Array<{readonly at: number; readonly run: () => void}> = [];
	for (let now = 0; now < 30_000; now += 10) {
		if (now === restartAt) {
			ledger = createLedger(false, now);
		}

		ledger.levels(now);
		for (const item of later.filter(({at}) => at <= now)) {
			later.splice(later.indexOf(item), 1);
			item.run();
		}

		const send = (view: ServerLimits) => {
			arrivals.push(now);
			const named = limitAt(now);
			const sentAt = now;
			later.push({
				at: now + 100,
				run() {
					view.note('s', named, sentAt, sentAt + 100);
				},
			});
		};

		for (const view of views) {
			if (random() >= demand / 100 || !view.isOpen('s', now)) {
				continue;
			}

			const perSecond = view.perSecond('s');
			if (perSecond === undefined) {
				send(view);
				continue;
			}

			view.noteAsk('s');
			const rule = rules.ruleFor(serverLimitName('s'), perSecond, now);
			const grant = ledger.take(rule, 1, now);
			const retryAfterMs = grant.kind === 'granted' ? 0 : grant.retryAfterMs;
			view.noteReply('s', retryAfterMs, now);
			if (retryAfterMs === 0) {
				send(view);
			}
		}
	}

	return arrivals;
}

/** The most requests in any window that begins at or after a time. */
function mostInWindow(arrivals: readonly number[], from: number): number {
	return Math.max(
		0,
		...arrivals
			.filter(at => at >= from)
			.map(
				start =>
					arrivals.filter(at => at >= start && at < start + windowMs).length,
			),
	);
}

describe('a limit that a server names', () => {
	// Guards against a server that gets each entry's whole demand though all were told its limit (LIMIT, incident second1).
	describe('is kept over all entries, none of which sees the requests of the others', () => {
		for (const [perSecond, entries] of [
			[1.1, 4],
			[1.1, 24],
			[1.4, 68],
			[20, 24],
			[0, 24],
		] as const) {
			it(`of ${perSecond} a second, by ${entries} entries`, () => {
				const arrivals = play({entries, limitAt: () => perSecond, demand: 15});
				const most = mostInWindow(arrivals, 3000);
				assert.ok(most <= allowedFor(perSecond), `${most} requests`);
				// The limit is used, too.
				const used = arrivals.filter(at => at >= 10_000).length / 20;
				assert.ok(used >= 0.7 * perSecond, `${used} a second`);
			});
		}

		it('whose owner restarts', () => {
			const arrivals = play({
				entries: 24,
				limitAt: () => 1.1,
				demand: 15,
				restartAt: 12_000,
			});
			assert.ok(mostInWindow(arrivals, 3000) <= allowedFor(1.1));
		});

		it('that falls', () => {
			const limitAt = (now: number) => (now < 10_000 ? 20 : 1.1);
			const arrivals = play({entries: 24, limitAt, demand: 15});
			assert.ok(mostInWindow(arrivals, 13_000) <= allowedFor(1.1));
		});
	});

	it('ends with the first response without one', () => {
		const limitAt = (now: number) => (now < 10_000 ? 1.1 : undefined);
		const arrivals = play({entries: 4, limitAt, demand: 15});
		const after = arrivals.filter(at => at >= 20_000).length / 10;
		assert.ok(after > 40, `${after} a second`);
	});

	it('does not end with an earlier response that is read late', () => {
		const limits = ServerLimits.create();
		assert.deepEqual(limits.note('s', 2, 0, 100), {
			kind: 'named',
			perSecond: 2,
		});
		assert.equal(limits.note('s', undefined, 90, 200), undefined);
		assert.equal(limits.perSecond('s'), 2);
		assert.deepEqual(limits.note('s', undefined, 150, 300), {kind: 'ended'});
	});
});
