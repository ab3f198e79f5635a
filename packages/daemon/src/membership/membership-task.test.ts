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
let loggedEvents: string[];
let answer: {readonly status: number; readonly body: unknown};
let etags: Array<string | undefined>;

describe('MembershipTask', () => {
	beforeEach(async () => {
		loggedEvents = [];
		etags = [];
		answer = {status: 200, body: {hosts: [host]}};
		app = fastify();
		app.get('/v1/hosts', async (req, reply) => {
			const ifNoneMatch = req.headers['if-none-match'];
			const etag = `"${JSON.stringify(answer.body).length}"`;
			etags.push(ifNoneMatch);
			return ifNoneMatch === etag
				? reply.code(304).send()
				: reply.code(answer.status).header('etag', etag).send(answer.body);
		});
		const url = await app.listen({host: '127.0.0.1', port: 0});
		const log = (event: string) => {
			loggedEvents.push(event);
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

	it('notifies listeners of a list once and sends its ETag with later reads', async () => {
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

	it('keeps the last list while the platform is down, and logs once that it is down and once that it is up', async () => {
		await task.poll();
		answer = {status: 503, body: {}};
		await task.poll();
		await task.poll();
		assert.deepEqual(task.hosts(), [host]);
		answer = {status: 200, body: {hosts: []}};
		await task.poll();
		assert.deepEqual(loggedEvents, [
			'membership.platform_down',
			'membership.platform_up',
		]);
	});

	it('keeps the last list when the response is not a host list', async () => {
		await task.poll();
		answer = {status: 200, body: {hosts: 'none'}};
		await task.poll();
		assert.deepEqual(task.hosts(), [host]);
		assert.deepEqual(loggedEvents, ['membership.platform_down']);
	});
});

describe('parseHosts', () => {
	// Guards against a host whose address becomes a URL that does not exist.
	it('skips hosts at addresses that no URL can hold', () => {
		for (const peerAddress of ['127.0.0.1:70000', '999.0.0.1:80', '[::1:80']) {
			const parsed = parseHosts({hosts: [{...host, peerAddress}, host]});
			assert.deepEqual(parsed, {hosts: [host], malformed: 1});
		}
	});

	it('never throws, and returns only well-formed hosts', () => {
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
