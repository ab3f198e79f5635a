import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import {describe, it} from 'node:test';
import {createRandom} from '@balsamtray/core';
import {arrivalTimes} from './arrivals.js';
import {drawLoad} from './load-chart.js';
import {LoadRecorder} from './load-recorder.js';
import {runLoad} from './load-runner.js';
import type {LoadPlan, LoadReport} from './types.js';

const plan: LoadPlan = {
	targets: [],
	key: 'key',
	ratePerSecond: 200,
	durationMs: 300,
	work: {kind: 'chat', models: ['a'], prompt: 'p', maxTokens: 1},
	timeoutMs: 1000,
	connections: 100,
	seed: 5,
};

async function runAgainst(
	listener: RequestListener,
	changes: Partial<LoadPlan> = {},
): Promise<LoadReport> {
	const server = createServer(listener);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	assert.ok(typeof address === 'object' && address !== null);
	const targets = [`http://127.0.0.1:${address.port}`];
	const report = await runLoad({...plan, ...changes, targets}, () => undefined);
	server.close();
	return report;
}

describe('arrivalTimes', () => {
	it('come at the rate, and are the same with the same seed', () => {
		const first = [...arrivalTimes(100, 100_000, createRandom(3))];
		const second = [...arrivalTimes(100, 100_000, createRandom(3))];
		assert.deepEqual(first, second);
		assert.ok(Math.abs(first.length - 10_000) < 400, `${first.length} came`);
		assert.deepEqual(
			first,
			first.toSorted((a, b) => a - b),
		);
	});
});

describe('runLoad', () => {
	it('tells whole answers from cut ones', async () => {
		let count = 0;
		const report = await runAgainst((_req, res) => {
			res.setHeader('content-type', 'text/event-stream');
			res.end(count++ % 2 === 0 ? 'data: {}\n\ndata: [DONE]\n\n' : 'data: {}');
		});
		const {ok = 0, answer_cut: cut = 0} = report.reasons;
		assert.ok(report.sent > 20);
		assert.equal(ok + cut, report.sent);
		assert.ok(Math.abs(ok - cut) <= 1);
		assert.equal(report.total.count, ok);
	});

	it('counts refusals by their code', async () => {
		const report = await runAgainst((_req, res) => {
			res.statusCode = 429;
			res.end('{"error":{"code":"rate_exceeded","not_run":true}}');
		});
		assert.deepEqual(report.reasons, {rate_exceeded: report.sent});
		const [second] = report.seconds;
		assert.equal(second?.refused, report.sent);
	});

	it('sends on while nothing answers, and gives up in time', async () => {
		const report = await runAgainst(
			req => {
				req.resume();
			},
			{timeoutMs: 100},
		);
		assert.ok(report.sent > 20);
		assert.deepEqual(report.reasons, {timeout: report.sent});
	});

	it('counts connections that fail', async () => {
		const report = await runAgainst(req => {
			req.socket.destroy();
		});
		assert.deepEqual(report.reasons, {connection_failed: report.sent});
	});
});

describe('drawLoad', () => {
	it('draws a run without requests, and one with some', () => {
		const recorder = LoadRecorder.create();
		assert.match(drawLoad(recorder.report(plan)), /^<svg/v);
		recorder.noteDue(10);
		recorder.noteEnd(10, {
			reason: 'ok',
			isOk: true,
			isNotRun: false,
			firstByteMs: 12,
			totalMs: 20,
		});
		const picture = drawLoad(recorder.report(plan));
		assert.ok(!picture.includes('NaN'));
	});
});
