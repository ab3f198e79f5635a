import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {EventStreamSplitter} from './event-stream-splitter.js';
import {RetryAllowance} from './retry-allowance.js';
import {RetryAudit} from './retry-audit.js';

const limit = {windowMs: 10_000, ratio: 0.2, extra: 56};
const firstStart = {startedAt: 0, isFirstStart: true};

describe('RetryAllowance', () => {
	it('keeps all entries together within the limit without requests', () => {
		let retries = 0;
		for (let entry = 0; entry < 8; entry++) {
			const allowance = RetryAllowance.create({
				limit: () => limit,
				...firstStart,
			});
			for (let i = 0; i < 100; i++) {
				retries += allowance.tryTake(8, 0) ? 1 : 0;
			}
		}

		assert.ok(retries > 0 && retries <= 56, `${retries}`);
	});

	it('stays within the limit in each window while requests arrive', () => {
		const allowance = RetryAllowance.create({
			limit: () => limit,
			...firstStart,
		});
		const taken: number[] = [];
		let requests = 0;
		for (let now = 0; now < 30_000; now += 50) {
			allowance.noteRequest(now);
			requests++;
			if (allowance.tryTake(8, now)) {
				allowance.noteSent(now);
				taken.push(now);
			}
		}

		assert.ok(taken.length > 0.1 * requests);
		for (const start of taken) {
			const inWindow = taken.filter(
				at => at >= start && at < start + limit.windowMs,
			).length;
			assert.ok(inWindow <= 0.2 * 200 + 56 / 8, `${inWindow}`);
		}
	});

	// Guards against retries that wait for a connection and are sent together with those of a later window (BUDGET).
	it('counts a retry that waits to be sent until it has been sent for one window', () => {
		const allowance = RetryAllowance.create({
			limit: () => limit,
			...firstStart,
		});
		const takeAll = (now: number): number => {
			let count = 0;
			while (allowance.tryTake(8, now)) {
				count++;
			}

			return count;
		};

		const first = takeAll(0);
		assert.ok(first > 0);
		assert.equal(takeAll(15_000), 0);
		for (let i = 0; i < first; i++) {
			allowance.noteSent(15_000);
		}

		assert.equal(takeAll(24_999), 0);
		assert.equal(takeAll(27_000), first);
	});

	// Guards against requests that count for retries though they are older than the window (BUDGET).
	it('stays within the limit with two bursts of requests that are a little more than a window apart', () => {
		const allowance = RetryAllowance.create({
			limit: () => limit,
			...firstStart,
		});
		const audit = RetryAudit.create();
		let requests = 0;
		for (let now = 0; now < 25_000; now += 100) {
			const isBurst = now === 10_000 || now === 20_500;
			for (let i = 0; i < (isBurst ? 1000 : 0); i++) {
				allowance.noteRequest(now);
				audit.noteRequest(now);
				audit.noteArrival(`request-${requests++}`, now);
			}

			const tries = now > 10_600 ? 1000 : 0;
			for (let i = 0; i < tries && allowance.tryTake(8, now); i++) {
				allowance.noteSent(now);
				audit.noteArrival('request-0', now);
			}
		}

		const worst = audit.worst(limit);
		assert.ok(worst.excess <= 0, JSON.stringify(worst));
	});

	it('allows another retry for one that is given back', () => {
		const allowance = RetryAllowance.create({
			limit: () => ({...limit, extra: 10}),
			...firstStart,
		});
		assert.equal(allowance.tryTake(8, 0), true);
		assert.equal(allowance.tryTake(8, 0), false);
		allowance.giveBack();
		assert.equal(allowance.tryTake(8, 0), true);
	});

	it('applies a new limit at once and counts earlier retries', () => {
		let current = limit;
		const allowance = RetryAllowance.create({
			limit: () => current,
			...firstStart,
		});
		for (let i = 0; i < limit.extra; i++) {
			allowance.tryTake(1, 0);
		}

		assert.equal(allowance.tryTake(1, 0), false);

		current = {...limit, extra: 2 * limit.extra};
		assert.equal(allowance.tryTake(1, 1), true);
		current = limit;
		assert.equal(allowance.tryTake(1, 2), false);
	});
});

describe('EventStreamSplitter', () => {
	const bytes = (text: string) => Buffer.from(text);

	it('returns only complete events, with the identifier of the last one', () => {
		const splitter = EventStreamSplitter.create();
		const first = splitter.push(bytes('id: 1\ndata: a\n\nid: 2\nda'));
		assert.equal(
			first.bytes.toString(),
			bytes('id: 1\ndata: a\n\n').toString(),
		);
		assert.equal(first.lastEventId, '1');
		const second = splitter.push(bytes('ta: b\n'));
		assert.equal(second.bytes.length, 0);
		assert.equal(second.lastEventId, undefined);
		const third = splitter.push(bytes('\n'));
		assert.equal(Buffer.from(third.bytes).toString(), 'id: 2\ndata: b\n\n');
		assert.equal(third.lastEventId, '2');
		assert.equal(splitter.takePartialEvent().length, 0);
	});

	it('holds back a partial event, so that a resumed stream continues between events', () => {
		const splitter = EventStreamSplitter.create();
		splitter.push(bytes('id: 1\r\ndata: a\r\n\r\nid: 2\r\n'));
		assert.equal(
			Buffer.from(splitter.takePartialEvent()).toString(),
			'id: 2\r\n',
		);
		const resumed = splitter.push(bytes('id: 2\r\ndata: b\r\n\r\n'));
		assert.equal(resumed.lastEventId, '2');
	});
});
