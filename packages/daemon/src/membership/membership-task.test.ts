import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {createRandom, type Host} from '@balsamtray/core';
import fastify, {type FastifyInstance} from 'fastify';
import fc from 'fast-check';
import {noMetrics} from '../telemetry/metrics.js';
import {noTracer} from '../telemetry/tracer.js';
import {MembershipTask} from './membership-task.js';
import {parseHosts} from './parse-hosts.js';

const host: Host = {
	role: 'agent',
	id: 's1',
	zone: 'z1',
	region: 'r1',
	peerAddress: '127.0.0.1:9000',
	state: 'live',
	backend: {kind: 'engine', baseModel: 'base'},
};

let app: FastifyInstance;
let task: MembershipTask;
let lines: string[];
let answer: {readonly status: number; readonly body: unknown};
let etags: Array<string | undefined>;

describe('MembershipTask', () => {
	beforeEach(async () => {
		lines = [];
		etags = [];
		answer = {status: 200, body: {hosts: [host]}};
		app = fastify();
		app.get('/v1/hosts', async (req, reply) => {
			const asked = req.headers['if-none-match'];
			const etag = `"${JSON.stringify(answer.body).length}"`;
			etags.push(asked);
			return asked === etag
				? reply.code(304).send()
				: reply.code(answer.status).header('etag', etag).send(answer.body);
		});
		const url = await app.listen({host: '127.0.0.1', port: 0});
		const log = (event: string) => {
			lines.push(event);
		};

		task = MembershipTask.create({
			url,
			random: createRandom(1),
			telemetry: {
				metrics: noMetrics,
				tracer: noTracer,
				logger: {info: log, warn: log, error: log},
			},
		});
	});

	afterEach(async () => {
		await task.stop();
		await app.close();
	});

	it('tells of a list once and asks with its ETag from then on', async () => {
		const seen: Array<readonly Host[]> = [];
		task.onChanged(hosts => {
			seen.push(hosts);
		});
		await task.poll();
		await task.poll();
		assert.deepEqual(seen, [[host]]);
		assert.deepEqual(task.find('s1'), host);
		const etag = `"${JSON.stringify(answer.body).length}"`;
		assert.deepEqual(etags, [undefined, etag]);
	});

	it('keeps the last list while the platform is down, and logs each change of its state once', async () => {
		await task.poll();
		answer = {status: 503, body: {}};
		await task.poll();
		await task.poll();
		assert.deepEqual(task.hosts(), [host]);
		answer = {status: 200, body: {hosts: []}};
		await task.poll();
		assert.deepEqual(lines, [
			'membership.platform_down',
			'membership.platform_up',
		]);
	});

	it('keeps the last list when the answer is no list', async () => {
		await task.poll();
		answer = {status: 200, body: {hosts: 'none'}};
		await task.poll();
		assert.deepEqual(task.hosts(), [host]);
		assert.deepEqual(lines, ['membership.platform_down']);
	});
});

describe('parseHosts', () => {
	it('takes any value, and only well-formed lines', () => {
		fc.assert(
			fc.property(fc.anything(), fc.array(fc.jsonValue()), (value, others) => {
				assert.doesNotThrow(() => parseHosts(value));
				const parsed = parseHosts({hosts: [...others, host]});
				assert.deepEqual(parsed?.hosts, [host]);
				assert.equal(parsed.malformed, others.length);
			}),
			{numRuns: 300, seed: 3},
		);
	});
});
