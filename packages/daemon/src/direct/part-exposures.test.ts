import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {silenceTimeoutMs} from '@balsamtray/core';
import {leftExposureLifetimeMs, maxLeftExposures} from './constants.js';
import {PartExposures, type PartExposure} from './part-exposures.js';

let now: number;
let exposures: PartExposures;
let interrupted: string[];
let begunTimes: number[];
let progressed: string[];
let recalled: string[];
let endedServers: Set<string>;
let silentServers: Set<string>;

/** Sends a request whose answer begins at once. */
function begin(name: string, server = 's1'): PartExposure {
	const exposure = send(name, server);
	exposure.onHead();
	return exposure;
}

function send(name: string, server = 's1'): PartExposure {
	return exposures.add({
		parts: [name],
		start: {server, born: 1},
		recall() {
			recalled.push(name);
		},
	});
}

describe('PartExposures', () => {
	beforeEach(() => {
		now = 1000;
		interrupted = [];
		begunTimes = [];
		progressed = [];
		recalled = [];
		endedServers = new Set();
		silentServers = new Set();
		exposures = PartExposures.create({
			clock: () => now,
			hasEnded: ({server}) => endedServers.has(server),
			isSilent: server => silentServers.has(server),
			onInterrupted({parts: [name]}, evidence, begunAt) {
				interrupted.push(`${name} ${evidence}`);
				begunTimes.push(begunAt);
			},
			onProgress({parts: [name]}, begunAt) {
				progressed.push(`${name} ${begunAt}`);
			},
		});
	});

	describe('of an answer that goes on', () => {
		it('tells when the answer began, once', () => {
			const exposure = send('a');
			exposure.onHead();
			now += 50;
			exposure.onProgress();
			exposure.onProgress();
			assert.deepEqual(progressed, ['a 1000']);
		});

		// Guards against evidence on parts from a server that ends long after it began to write the answer.
		it('takes no later end of the server as evidence', () => {
			const exposure = send('a');
			exposure.onHead();
			exposure.onProgress();
			exposure.onBroke();
			endedServers.add('s1');
			exposures.check(now);
			assert.deepEqual(interrupted, []);
		});
	});

	describe('of a server that ends', () => {
		it('counts a broken connection at once, and once', () => {
			const exposure = begin('a');
			now += 40;
			exposure.onBroke();
			exposure.onBroke();
			endedServers.add('s1');
			exposures.check(now);
			assert.deepEqual(interrupted, ['a broke']);
			assert.deepEqual(begunTimes, [1000]);
		});

		// Guards against a server that loses power: its connections stay open without a byte.
		it('counts an answer that began and stays silent with its server', () => {
			send('began').onHead();
			send('waiting');
			silentServers.add('s1');
			now += silenceTimeoutMs - 1;
			exposures.check(now);
			assert.deepEqual(interrupted, []);
			now += 1;
			exposures.check(now);
			exposures.check(now);
			assert.deepEqual(interrupted, ['began silent']);
		});

		it('counts what began there when the server has started again', () => {
			begin('a');
			begin('b', 's2');
			endedServers.add('s1');
			exposures.check(now);
			exposures.check(now);
			assert.deepEqual(interrupted, ['a restarted']);
		});
	});

	describe('of a request that is given up', () => {
		// Guards against callers who leave a silent stream before anybody knows that its server ended.
		it('counts an answer that began and was silent', () => {
			const exposure = send('a');
			exposure.onHead();
			now += silenceTimeoutMs;
			exposure.onLeft();
			assert.deepEqual(interrupted, ['a left']);
		});

		it('counts once its server has started again within some seconds', () => {
			begin('a').onLeft();
			now += leftExposureLifetimeMs - 1;
			endedServers.add('s1');
			exposures.check(now);
			exposures.check(now);
			assert.deepEqual(interrupted, ['a restarted']);
		});

		it('does not count if its server starts again later', () => {
			begin('a').onLeft();
			now += leftExposureLifetimeMs;
			exposures.check(now);
			endedServers.add('s1');
			exposures.check(now);
			assert.deepEqual(interrupted, []);
		});

		it('is forgotten for newer ones beyond a number', () => {
			for (let i = 0; i <= maxLeftExposures; i++) {
				begin(`${i}`).onLeft();
			}

			endedServers.add('s1');
			exposures.check(now);
			assert.equal(interrupted.length, maxLeftExposures);
			assert.equal(interrupted[0], '1 restarted');
		});
	});

	describe('of a request of which no answer has begun', () => {
		// Guards against a herd of kills, where what waits at the servers looks like the cause of their end.
		it('is no evidence, however its server ends', () => {
			send('a').onBroke();
			send('b').onLeft();
			send('c');
			silentServers.add('s1');
			now += silenceTimeoutMs;
			exposures.check(now);
			endedServers.add('s1');
			exposures.check(now);
			assert.deepEqual(interrupted, []);
		});
	});

	describe('of a request that did not run', () => {
		it('is no evidence', () => {
			begin('a').dispose();
			endedServers.add('s1');
			exposures.check(now);
			assert.deepEqual(interrupted, []);
		});
	});

	// Guards against requests that crash servers at which they waited when their part was quarantined.
	it('takes back the requests with a part, but not those that were interrupted', () => {
		send('a');
		send('b');
		begin('a', 's2');
		endedServers.add('s2');
		exposures.check(now);
		exposures.recall(new Set(['a']));
		assert.deepEqual(recalled, ['a']);
	});
});
