import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import {describe, it} from 'node:test';
import {createRandom} from '@balsamtray/core';
import {arrivalTimes} from './arrivals.js';
import {renderLoadChart} from './load-chart.js';
import {LoadRecorder} from './load-recorder.js';
import {runLoad} from './load-runner.js';
import type {LoadPlan, LoadReport} from './types.js';

const plan: LoadPlan = {
	targets: [],
	key: 'key',
	ratePerSecond: 200,
	durationMs: 300,
	workload: {kind: 'chat', models: ['a'], prompt: 'p', maxTokens: 1},
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
	it('follows the rate and depends only on the seed', () => {
		const first = [...arrivalTimes(100, 100_000, createRandom(3))];
		const second = [...arrivalTimes(100, 100_000, createRandom(3))];
		assert.deepEqual(first, second);
		assert.ok(
			Math.abs(first.length - 10_000) < 400,
			`${first.length} arrivals`,
		);
		assert.deepEqual(
			first,
			first.toSorted((a, b) => a - b),
		);
	});
});

describe('runLoad', () => {
	it('distinguishes complete responses from truncated ones', async () => {
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

	it('counts refusals by error code', async () => {
		const report = await runAgainst((_req, res) => {
			res.statusCode = 429;
			res.end('{"error":{"code":"rate_exceeded","not_run":true}}');
		});
		assert.deepEqual(report.reasons, {rate_exceeded: report.sent});
		const [second] = report.seconds;
		assert.equal(second?.refused, report.sent);
	});

	it('keeps sending and counts timeouts while no response arrives', async () => {
		const report = await runAgainst(
			req => {
				req.resume();
			},
			{timeoutMs: 100},
		);
		assert.ok(report.sent > 20);
		assert.deepEqual(report.reasons, {timeout: report.sent});
	});

	it('counts failed connections', async () => {
		const report = await runAgainst(req => {
			req.socket.destroy();
		});
		assert.deepEqual(report.reasons, {connection_failed: report.sent});
	});
});

describe('renderLoadChart', () => {
	it('renders a run with and without requests', () => {
		const recorder = LoadRecorder.create();
		assert.match(renderLoadChart(recorder.report(plan)), /^<svg/v);
		recorder.recordSent(10);
		recorder.recordEnd(10, {
			reason: 'ok',
			isOk: true,
			isNotRun: false,
			firstByteMs: 12,
			totalMs: 20,
		});
		const svg = renderLoadChart(recorder.report(plan));
		assert.ok(!svg.includes('NaN'));
	});
});
