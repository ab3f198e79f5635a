/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- the tests check the fields they use */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, it} from 'node:test';
import fc from 'fast-check';
import {request} from 'undici';
import {
	answerWhole,
	endAnswer,
	goodKey,
	names,
	refuseDispatch,
	startAnswer,
	startEntry,
	type AgentCall,
	type EntryFixture,
	type EntryFixtureOptions,
} from './testing.js';
import type {ErrorBody} from './error-body.js';

const authorization = `Bearer ${goodKey}`;
const chat = {model: names.adapter, messages: [{role: 'user', content: 'hi'}]};

const stream = {...chat, stream: true};

/** Ways in which an agent's answer ends without being whole. */
const breaks: ReadonlyArray<[string, (call: AgentCall) => void]> = [
	[
		'the connection to the agent breaks',
		call => {
			call.res.destroy();
		},
	],
	[
		'the answer ends without its mark',
		call => {
			call.res.end();
		},
	],
	[
		'the end names another attempt',
		call => {
			endAnswer(call, 'another');
		},
	],
];

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

/** Reads an answer as far as it comes, and how it ended. */
async function readBroken(url: string, body: unknown) {
	const res = await request(`${url}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization, 'content-type': 'application/json'},
		body: JSON.stringify(body),
	});
	let text = '';
	try {
		for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
			text += Buffer.from(chunk).toString();
		}
	} catch (error) {
		return {text, error};
	}

	return {text, error: undefined};
}

/** Sends a request over a socket of its own and reads nothing. */
function connectRaw(
	url: string,
	body: unknown,
	path = '/v1/chat/completions',
): Socket {
	const {hostname, port} = new URL(url);
	const text = typeof body === 'string' ? body : JSON.stringify(body);
	const socket = connect(Number(port), hostname);
	socket.write(
		`POST ${path} HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\nidempotency-key: i\r\ncontent-type: application/json\r\ncontent-length: ${text.length}\r\n\r\n${text}`,
	);
	return socket;
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

	describe('a key outside its header', () => {
		const anyKey = `bt_${'0a'.repeat(8)}_${'f1'.repeat(32)}`;
		const encoded = anyKey.replace('bt_', '%62t_');
		for (const [name, path, body, headers] of [
			['the query', `/services/stock/a?key=${goodKey}`, '{}', {}],
			['the encoded query', `/services/stock/a?key=${encoded}`, '{}', {}],
			['a body', '/services/stock/a', `x=${anyKey}`, {}],
			['a prompt', '/v1/chat/completions', {...chat, user: anyKey}, {}],
			['a type', '/services/stock/a', '{}', {'content-type': anyKey}],
			[
				'an idempotency key',
				'/services/orders/a',
				'{}',
				{'idempotency-key': anyKey},
			],
		] as const) {
			it(`is not handed on in ${name}`, async () => {
				const {url, agentCalls} = await start();
				const res = await post(url + path, body, headers);
				assert.equal(res.status, 400);
				assert.equal(errorOf(res.text).not_run, true);
				assert.equal(agentCalls.length, 0);
			});
		}
	});

	describe('a stream', () => {
		it('reaches the caller as it arrives and ends when the agent says that it is whole', async () => {
			const {url} = await start({
				agents: [
					async call => {
						startAnswer(call, 'text/event-stream');
						call.res.write('data: 1\n\n');
						await sleep(20);
						call.res.write('data: [DONE]\n\n');
						endAnswer(call);
					},
				],
			});
			const res = await post(`${url}/v1/chat/completions`, stream);
			assert.equal(res.headers['content-type'], 'text/event-stream');
			assert.equal(res.text, 'data: 1\n\ndata: [DONE]\n\n');
		});

		for (const [name, breakOff] of breaks) {
			it(`ends with an error event and a broken connection when ${name}`, async () => {
				const {url, entry} = await start({
					agents: [
						async call => {
							startAnswer(call, 'text/event-stream');
							call.res.write('data: 1\n\n');
							await sleep(20);
							breakOff(call);
						},
					],
				});
				const {text, error} = await readBroken(url, stream);
				assert.match(text, /^data: 1\n\n/v);
				const event = /event: error\ndata: (?<body>.*)\n\n$/v.exec(text);
				const cut = errorOf(event?.groups?.body ?? '');
				assert.equal(cut.code, 'answer_cut');
				assert.equal(cut.not_run, false);
				assert.ok(error !== undefined, 'the connection was not broken');
				assert.equal(entry.stats().outcomes.cut, 1);
			});
		}

		it('holds the agent back when the caller does not read', async () => {
			const total = 32 * 1024 * 1024;
			let taken = 0;
			const {url} = await start({
				agents: [
					async call => {
						startAnswer(call, 'text/event-stream');
						const chunk = Buffer.alloc(64 * 1024, 'x');
						while (taken < total && !call.res.destroyed) {
							taken += chunk.length;
							if (!call.res.write(chunk)) {
								// eslint-disable-next-line no-await-in-loop
								await new Promise(resolve => {
									call.res.once('drain', resolve);
									call.res.once('close', resolve);
								});
							}
						}
					},
				],
			});
			const socket = connectRaw(url, stream);
			socket.pause();
			await until(() => taken > 0);
			let before = -1;
			while (before !== taken) {
				before = taken;
				// eslint-disable-next-line no-await-in-loop
				await sleep(100);
			}

			assert.ok(taken < total / 2, `${taken} bytes left the agent`);
			socket.destroy();
		});
	});

	describe('a caller that hangs up', () => {
		it('stops the work at the agent', async () => {
			let isClosed = false;
			const {url, agentCalls, entry} = await start({
				agents: [
					call => {
						startAnswer(call, 'text/event-stream');
						call.res.write('data: 1\n\n');
						call.res.once('close', () => {
							isClosed = true;
						});
					},
				],
			});
			const socket = connectRaw(url, stream);
			await until(() => agentCalls.length === 1);
			socket.destroy();
			await until(() => isClosed);
			await until(() => entry.stats().openRequests === 0);
			assert.equal(entry.stats().outcomes.gone, 1);
		});

		it('lets a call that may not be repeated run on, and its outcome is recorded', async () => {
			const {url, agentCalls, claimCalls} = await start({
				agents: [
					async call => {
						await sleep(60);
						answerWhole(call, 'loaded', 'text/plain');
					},
				],
			});
			const socket = connectRaw(url, '{}', '/services/orders/load');
			await until(() => agentCalls.length === 1);
			socket.destroy();
			await until(() => claimCalls.at(-1)?.step === 'record');
			const outcome = claimCalls.at(-1)?.outcome;
			assert.ok(outcome?.kind === 'answered');
			assert.equal(Buffer.from(outcome.body, 'base64').toString(), 'loaded');
		});
	});

	describe('an answer that is not whole', () => {
		it('is tried elsewhere when no byte went out', async () => {
			let calls = 0;
			const handler = (call: AgentCall) => {
				calls++;
				if (calls > 1) {
					answerWhole(call, '{"ok":true}');
					return;
				}

				startAnswer(call, 'application/json');
				call.res.write('{"ok"');
				setTimeout(() => {
					call.res.destroy();
				}, 10);
			};

			const {url} = await start({agents: [handler, handler]});
			const res = await post(`${url}/v1/chat/completions`, chat);
			assert.equal(res.text, '{"ok":true}');
			assert.equal(calls, 2);
		});

		it('is not taken when it names another attempt', async () => {
			const {url} = await start({
				agents: [
					call => {
						startAnswer(call, 'application/json', 'another');
						call.res.end('{"of":"another"}');
					},
				],
			});
			const res = await post(`${url}/v1/chat/completions`, chat);
			assert.equal(res.status, 502);
			assert.equal(errorOf(res.text).code, 'answer_mismatch');
			assert.equal(errorOf(res.text).not_run, false);
		});
	});

	describe('a call that may not be repeated', () => {
		const orders = '/services/orders/load?yard=3';

		it('hands method, path, body and type on, and records the outcome', async () => {
			const {url, agentCalls, claimCalls} = await start({
				agents: [
					call => {
						answerWhole(call, 'done', 'text/plain');
					},
				],
			});
			const res = await post(`${url}${orders}`, 'tons=4', {
				'idempotency-key': 'i1',
				'content-type': 'application/x-www-form-urlencoded',
				cookie: 'private',
			});
			assert.equal(res.text, 'done');
			const [call] = agentCalls;
			assert.deepEqual(call?.call, {
				method: 'POST',
				path: '/load?yard=3',
				contentType: 'application/x-www-form-urlencoded',
			});
			assert.equal(Buffer.from(call.body).toString(), 'tons=4');
			assert.equal(call.req.headers.cookie, undefined);
			assert.deepEqual(
				claimCalls.map(({step, key}) => `${step} ${key}`),
				['claim i1', 'record i1'],
			);
		});

		it('needs an idempotency key', async () => {
			const {url, agentCalls} = await start();
			const res = await post(`${url}${orders}`, '{}');
			assert.equal(res.status, 400);
			assert.equal(errorOf(res.text).code, 'idempotency_key_required');
			assert.equal(agentCalls.length, 0);
		});

		it('is never sent again once a byte may have left', async () => {
			const lose = (call: AgentCall) => {
				call.res.destroy();
			};

			const {url, agentCalls, claimCalls} = await start({agents: [lose, lose]});
			const res = await post(`${url}${orders}`, '{}', {'idempotency-key': 'i'});
			assert.equal(errorOf(res.text).code, 'outcome_unknown');
			assert.equal(errorOf(res.text).not_run, false);
			assert.equal(agentCalls.length, 1);
			assert.equal(claimCalls.at(-1)?.step, 'record');
		});

		it('goes elsewhere when the agent surely did not run it, and frees its key when nobody did', async () => {
			const refuse = (call: AgentCall) => {
				refuseDispatch(call, {
					code: 'overloaded',
					message: 'busy',
					notRun: true,
					step: 'admit',
					peer: 's1',
					retryAfterMs: 1500,
				});
			};

			const {url, agentCalls, claimCalls, returnedTokens} = await start({
				agents: [refuse, refuse],
			});
			const res = await post(`${url}${orders}`, '{}', {'idempotency-key': 'i'});
			assert.equal(res.status, 503);
			assert.equal(res.headers['retry-after'], '2');
			const error = errorOf(res.text);
			assert.equal(error.code, 'overloaded');
			assert.equal(error.not_run, true);
			assert.equal(error.retry_after_ms, 1500);
			assert.equal(agentCalls.length, 2);
			assert.equal(claimCalls.at(-1)?.step, 'release');
			assert.deepEqual(returnedTokens, [1]);
		});

		it('gets the recorded answer of the call before it', async () => {
			const body = Buffer.from('before').toString('base64');
			const {url, agentCalls} = await start({
				claim: () => ({
					kind: 'recorded',
					outcome: {
						kind: 'answered',
						status: 201,
						contentType: 'text/plain',
						body,
					},
				}),
			});
			const res = await post(`${url}${orders}`, '{}', {'idempotency-key': 'i'});
			assert.equal(res.status, 201);
			assert.equal(res.text, 'before');
			assert.equal(agentCalls.length, 0);
		});
	});

	describe('a refusal', () => {
		const cases = [
			['a missing key', {authorization: ''}, chat, 401, 'unauthorized'],
			[
				'a wrong key',
				{authorization: 'Bearer bt_k1_x'},
				chat,
				401,
				'unauthorized',
			],
			['no JSON', {}, '{', 400, 'invalid_request'],
			['a wrong field', {}, {...chat, stream: 'yes'}, 400, 'invalid_request'],
			['an unknown model', {}, {...chat, model: 'x'}, 404, 'unknown_model'],
			[
				'a wrong timeout',
				{'x-request-timeout-ms': '0'},
				chat,
				400,
				'invalid_request',
			],
			['a large body', {}, 'x'.repeat(70_000), 413, 'body_too_large'],
		] as const;
		for (const [name, headers, body, status, code] of cases) {
			it(`of ${name} says so and that nothing ran`, async () => {
				const {url, agentCalls} = await start();
				const res = await post(`${url}/v1/chat/completions`, body, headers);
				const error = errorOf(res.text);
				assert.equal(res.status, status);
				assert.equal(error.code, code);
				assert.equal(error.not_run, true);
				assert.equal(error.request_id, res.headers['x-request-id']);
				assert.equal(agentCalls.length, 0);
			});
		}

		it('of a wrong method, path or route is clear', async () => {
			const {url} = await start();
			for (const [path, status, code] of [
				['/v1/models', 405, 'method_not_allowed'],
				['/v2/models', 404, 'unknown_route'],
				['/services/none/x', 404, 'unknown_route'],
			] as const) {
				// eslint-disable-next-line no-await-in-loop
				const res = await post(`${url}${path}`, '{}');
				assert.equal(res.status, status);
				assert.equal(errorOf(res.text).code, code);
			}
		});

		it('for the rate says when to come back', async () => {
			const {url} = await start({
				reserve: () => ({kind: 'refused', retryAfterMs: 2500}),
			});
			const res = await post(`${url}/v1/chat/completions`, chat);
			assert.equal(res.status, 429);
			assert.equal(res.headers['retry-after'], '3');
		});

		it('at the deadline comes from the header that the caller sent', async () => {
			const {url} = await start({
				agents: [
					() => {
						// The agent hangs.
					},
				],
			});
			const startedAt = Date.now();
			const res = await post(`${url}/v1/chat/completions`, chat, {
				'x-request-timeout-ms': '100',
			});
			assert.equal(errorOf(res.text).code, 'deadline_exceeded');
			assert.equal(errorOf(res.text).not_run, false);
			assert.ok(Date.now() - startedAt < 2000);
		});
	});

	describe('arbitrary bodies and headers', () => {
		it('never crash the entry, and get an answer with a code', async () => {
			const {app} = await start();
			const path = fc.constantFrom(
				'/v1/chat/completions',
				'/v1/completions',
				'/services/stock/a',
				'/services/orders/b',
			);
			const headerValue = fc.string({unit: 'grapheme-ascii', maxLength: 40});
			const headers = fc.record({
				authorization: fc.oneof(fc.constant(authorization), headerValue),
				'idempotency-key': headerValue,
				'x-request-timeout-ms': headerValue,
				'content-type': headerValue,
				traceparent: headerValue,
			});
			const body = fc.oneof(
				fc.json().map(text => Buffer.from(text)),
				fc.uint8Array().map(bytes => Buffer.from(bytes)),
				fc
					.record({model: fc.constant(names.adapter), messages: fc.jsonValue()})
					.map(value => Buffer.from(JSON.stringify(value))),
			);
			await fc.assert(
				fc.asyncProperty(path, headers, body, async (url, sent, payload) => {
					const res = await app.inject({
						method: 'POST',
						url,
						headers: sent,
						payload,
					});
					assert.ok(res.statusCode >= 200 && res.statusCode < 500);
					assert.ok(!res.payload.includes('    at '));
					if (res.statusCode !== 200) {
						assert.ok(errorOf(res.payload).code.length > 0);
					}
				}),
				{numRuns: 300, seed: 5},
			);
		});
	});

	describe('a graceful shutdown', () => {
		it('is not ready first, refuses new work, and cuts no answer', async () => {
			let finish: (() => void) | undefined;
			const {url, entry, agentCalls} = await start({
				agents: [
					call => {
						finish = () => {
							answerWhole(call, '{"ok":true}');
						};
					},
				],
			});
			const running = post(`${url}/v1/chat/completions`, chat);
			await until(() => agentCalls.length === 1);
			const drained = entry.drain();
			await until(() => entry.stats().isShuttingDown);
			const ready = await request(`${url}/readyz`);
			assert.equal(ready.statusCode, 503);
			await ready.body.dump();
			const refused = await post(`${url}/v1/chat/completions`, chat);
			assert.equal(errorOf(refused.text).code, 'shutting_down');
			assert.equal(errorOf(refused.text).not_run, true);
			finish?.();
			const {status, text} = await running;
			assert.equal(status, 200);
			assert.equal(text, '{"ok":true}');
			await drained;
		});

		it('is cut short by a stop at once', async () => {
			const {url, entry, agentCalls} = await start({
				agents: [
					() => {
						// The agent hangs.
					},
				],
			});
			const running = post(`${url}/v1/chat/completions`, chat);
			await until(() => agentCalls.length === 1);
			void entry.drain();
			entry.stop();
			await assert.rejects(running);
		});
	});

	describe('the list of models', () => {
		it('is for callers with a key', async () => {
			const {url} = await start();
			const without = await request(`${url}/v1/models`);
			assert.equal(without.statusCode, 401);
			await without.body.dump();
			const res = await request(`${url}/v1/models`, {headers: {authorization}});
			assert.match(await res.body.text(), /salt-orders/v);
		});
	});
});
