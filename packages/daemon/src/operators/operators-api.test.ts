import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fastify from 'fastify';
import {OperatorsApi} from './operators-api.js';
import {createTestFleet, documentText, noTelemetry} from './testing.js';

const okStatus = 200;
const badRequestStatus = 400;
const unauthorizedStatus = 401;
const forbiddenStatus = 403;

async function createApi() {
	const fleet = createTestFleet();
	const {author} = fleet.addEntry('one');
	await fleet.start();
	const app = fastify();
	await OperatorsApi.create({
		keys: [
			{name: 'reader', role: 'read', key: 'read-key'},
			{name: 'changer', role: 'change', key: 'change-key'},
		],
		service: author,
		telemetry: noTelemetry,
	}).register(app);
	return async (key: string, procedure: string, body?: unknown) => {
		const res = await app.inject({
			method: body === undefined ? 'GET' : 'POST',
			url: `/trpc/${procedure}`,
			headers: {
				authorization: `Bearer ${key}`,
				'content-type': 'application/json',
			},
			...(body !== undefined && {payload: JSON.stringify(body)}),
		});
		return {status: res.statusCode, text: res.body};
	};
}

const zoneOut = {changeId: 'x', zone: 'zone-1'};

describe('OperatorsApi', () => {
	it('refuses calls without a valid key', async () => {
		const call = await createApi();
		for (const key of ['', 'read', 'read-key ', 'undefined']) {
			// eslint-disable-next-line no-await-in-loop
			const {status} = await call(key, 'status');
			assert.equal(status, unauthorizedStatus);
		}
	});

	it('allows the role read to read, but not to change', async () => {
		const call = await createApi();
		const read = await call('read-key', 'status');
		assert.equal(read.status, okStatus);
		const {status} = await call('read-key', 'zoneOut', zoneOut);
		assert.equal(status, forbiddenStatus);
	});

	it('allows the role change to make changes', async () => {
		const call = await createApi();
		const {status, text} = await call('change-key', 'zoneOut', zoneOut);
		assert.equal(status, okStatus);
		assert.ok(text.includes('accepted'));
	});

	it('accepts a document larger than the default body limit', async () => {
		const call = await createApi();
		const text = `${' '.repeat(2 * 1024 * 1024)}${documentText('a')}`;
		const {status} = await call('read-key', 'plan', {text});
		assert.equal(status, okStatus);
	});

	it('refuses malformed input without a stack trace', async () => {
		const call = await createApi();
		for (const body of [{}, [], {zone: 1}, {...zoneOut, more: 1}]) {
			// eslint-disable-next-line no-await-in-loop
			const {status, text} = await call('change-key', 'zoneOut', body);
			assert.equal(status, badRequestStatus);
			assert.ok(!text.includes('.js'));
		}
	});
});
