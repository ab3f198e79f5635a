/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- the tests check the fields they use */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, it} from 'node:test';
import {request} from 'undici';
import {
	answerWhole,
	endAnswer,
	goodKey,
	names,
	refuseDispatch,
	startAnswer,
	startEntry,
	type EntryFixture,
	type EntryFixtureOptions,
} from './testing.js';
import type {ErrorBody} from './error-body.js';

const authorization = `Bearer ${goodKey}`;
const chat = {model: names.adapter, messages: [{role: 'user', content: 'hi'}]};

let fixture: EntryFixture | undefined;

async function start(options?: EntryFixtureOptions): Promise<EntryFixture> {
	fixture = await startEntry(options);
	return fixture;
}

afterEach(async () => {
	await fixture?.close();
	fixture = undefined;
});

async function post(
	url: string,
	body: unknown,
	headers: Readonly<Record<string, string>> = {},
) {
	const res = await request(url, {
		method: 'POST',
		headers: {authorization, 'content-type': 'application/json', ...headers},
		body: typeof body === 'string' ? body : JSON.stringify(body),
	});
	return {
		status: res.statusCode,
		headers: res.headers,
		text: await res.body.text(),
	};
}

function errorOf(text: string): ErrorBody['error'] {
	return (JSON.parse(text) as ErrorBody).error;
}

async function until(condition: () => boolean): Promise<void> {
	const deadline = Date.now() + 3000;
	while (!condition()) {
		assert.ok(Date.now() < deadline, 'the condition never held');
		// eslint-disable-next-line no-await-in-loop
		await sleep(5);
	}
}

describe('CallersRoutes', () => {
	describe('a whole answer', () => {
		it('runs on the adapter that was asked for and never shows the key to the agent', async () => {
			const {url, agentCalls} = await start();
			const res = await post(`${url}/v1/chat/completions`, chat);
			assert.equal(res.status, 200);
			assert.equal(res.text, '{"ok":true}');
			const [call] = agentCalls;
			assert.deepEqual(call?.dispatch.target, {
				kind: 'adapter',
				adapter: names.adapter,
				version: 'v1',
				weights: 'w1',
			});
			assert.equal(call.call.path, '/v1/chat/completions');
			const seen = JSON.stringify([
				call.req.headers,
				call.dispatch,
				call.call,
				Buffer.from(call.body).toString(),
			]);
			assert.ok(!seen.includes('secret'));
		});
	});
});
