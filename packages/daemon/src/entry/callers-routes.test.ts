/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- the tests check the fields they use */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, it} from 'node:test';
import fc from 'fast-check';
import {request} from 'undici';
import {
	answerComplete,
	endAnswer,
	validKey,
	names,
	refuseDispatch,
	startAnswer,
	startEntry,
	type AgentCall,
	type EntryFixture,
	type EntryFixtureOptions,
} from './testing.js';
import type {ErrorBody} from './error-body.js';

const authorization = `Bearer ${validKey}`;
const chat = {model: names.adapter, messages: [{role: 'user', content: 'hi'}]};

const stream = {...chat, stream: true};

/** Ways in which an agent's answer ends incomplete. */
const incompleteEndings: ReadonlyArray<[string, (call: AgentCall) => void]> = [
	[
		'the connection to the agent closes',
		call => {
			call.res.destroy();
		},
	],
	[
		'the answer ends without its end trailer',
		call => {
			call.res.end();
		},
	],
	[
		'the end trailer names another attempt',
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

/** Reads an answer until it ends or fails. Returns the received text and the error. */
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

/** Sends a request over a separate socket without reading the response. */
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

async function waitUntil(condition: () => boolean): Promise<void> {
	const deadline = Date.now() + 3000;
	while (!condition()) {
		assert.ok(
			Date.now() < deadline,
			'the condition did not become true in time',
		);
		// eslint-disable-next-line no-await-in-loop
		await sleep(5);
	}
}

describe('CallersRoutes', () => {
	describe('a complete answer', () => {
		it('comes from the requested adapter, and the agent never receives the key', async () => {
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

	describe('a key outside the Authorization header', () => {
		const anyKey = `bt_${'0a'.repeat(8)}_${'f1'.repeat(32)}`;
		const encoded = anyKey.replace('bt_', '%62t_');
		for (const [name, path, body, headers] of [
			['the query', `/services/stock/a?key=${validKey}`, '{}', {}],
			[
				'the percent-encoded query',
				`/services/stock/a?key=${encoded}`,
				'{}',
				{},
			],
			['a body', '/services/stock/a', `x=${anyKey}`, {}],
			['a prompt', '/v1/chat/completions', {...chat, user: anyKey}, {}],
			['a content type', '/services/stock/a', '{}', {'content-type': anyKey}],
			[
				'an idempotency key',
				'/services/orders/a',
				'{}',
				{'idempotency-key': anyKey},
			],
		] as const) {
			it(`is refused in ${name} and not forwarded`, async () => {
				const {url, agentCalls} = await start();
				const res = await post(url + path, body, headers);
				assert.equal(res.status, 400);
				assert.equal(errorOf(res.text).not_run, true);
				assert.equal(agentCalls.length, 0);
			});
		}
	});

	describe('a stream', () => {
		it('is relayed as it arrives and ends when the agent completes it', async () => {
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

		for (const [name, endIncomplete] of incompleteEndings) {
			it(`ends with an error event and a closed connection when ${name}`, async () => {
				const {url, entry} = await start({
					agents: [
						async call => {
							startAnswer(call, 'text/event-stream');
							call.res.write('data: 1\n\n');
							await sleep(20);
							endIncomplete(call);
						},
					],
				});
				const {text, error} = await readBroken(url, stream);
				assert.match(text, /^data: 1\n\n/v);
				const event = /event: error\ndata: (?<body>.*)\n\n$/v.exec(text);
				const cut = errorOf(event?.groups?.body ?? '');
				assert.equal(cut.code, 'answer_cut');
				assert.equal(cut.not_run, false);
				assert.ok(error !== undefined, 'the connection was not closed early');
				assert.equal(entry.stats().outcomes.cut, 1);
			});
		}

		it('applies backpressure to the agent when the caller does not read', async () => {
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
			await waitUntil(() => taken > 0);
			let before = -1;
			while (before !== taken) {
				before = taken;
				// eslint-disable-next-line no-await-in-loop
				await sleep(100);
			}

			assert.ok(taken < total / 2, `the agent sent ${taken} bytes`);
			socket.destroy();
		});
	});

	describe('a caller that disconnects', () => {
		it('closes the connection to the agent', async () => {
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
			await waitUntil(() => agentCalls.length === 1);
			socket.destroy();
			await waitUntil(() => isClosed);
			await waitUntil(() => entry.stats().openRequests === 0);
			assert.equal(entry.stats().outcomes.gone, 1);
		});

		it('does not stop a non-repeatable call, whose outcome is recorded', async () => {
			const {url, agentCalls, claimCalls} = await start({
				agents: [
					async call => {
						await sleep(60);
						answerComplete(call, 'loaded', 'text/plain');
					},
				],
			});
			const socket = connectRaw(url, '{}', '/services/orders/load');
			await waitUntil(() => agentCalls.length === 1);
			socket.destroy();
			await waitUntil(() => claimCalls.at(-1)?.step === 'record');
			const outcome = claimCalls.at(-1)?.outcome;
			assert.ok(outcome?.kind === 'answered');
			assert.equal(Buffer.from(outcome.body, 'base64').toString(), 'loaded');
		});
	});

	describe('an invalid answer', () => {
		it('is retried on another server when it is incomplete and no byte was sent to the caller', async () => {
			let calls = 0;
			const handler = (call: AgentCall) => {
				calls++;
				if (calls > 1) {
					answerComplete(call, '{"ok":true}');
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

		it('is refused when it names another attempt', async () => {
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

	describe('a non-repeatable call', () => {
		const orders = '/services/orders/load?yard=3';

		it('forwards method, path, body and content type, and records the outcome', async () => {
			const {url, agentCalls, claimCalls} = await start({
				agents: [
					call => {
						answerComplete(call, 'done', 'text/plain');
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

		it('is refused without an idempotency key', async () => {
			const {url, agentCalls} = await start();
			const res = await post(`${url}${orders}`, '{}');
			assert.equal(res.status, 400);
			assert.equal(errorOf(res.text).code, 'idempotency_key_required');
			assert.equal(agentCalls.length, 0);
		});

		it('is not retried once it may have reached the agent', async () => {
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

		it('is retried on another server when the agent did not run it, and releases its key when no agent did', async () => {
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

		it('gets the recorded answer of an earlier call with the same key', async () => {
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
			['invalid JSON', {}, '{', 400, 'invalid_request'],
			[
				'an invalid field',
				{},
				{...chat, stream: 'yes'},
				400,
				'invalid_request',
			],
			['an unknown model', {}, {...chat, model: 'x'}, 404, 'unknown_model'],
			[
				'an invalid timeout',
				{'x-request-timeout-ms': '0'},
				chat,
				400,
				'invalid_request',
			],
			[
				'a body that is too large',
				{},
				'x'.repeat(70_000),
				413,
				'body_too_large',
			],
		] as const;
		for (const [name, headers, body, status, code] of cases) {
			it(`of ${name} has the matching code and reports that nothing ran`, async () => {
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

		it('of an unknown path or route or a wrong method has the matching code', async () => {
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

		it('of a rate limit has a Retry-After header', async () => {
			const {url} = await start({
				reserve: () => ({kind: 'refused', retryAfterMs: 2500}),
			});
			const res = await post(`${url}/v1/chat/completions`, chat);
			assert.equal(res.status, 429);
			assert.equal(res.headers['retry-after'], '3');
		});

		it('of a request that exceeds the timeout header of its caller has the code deadline_exceeded', async () => {
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
		it('never crash the entry, and errors have a code', async () => {
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
		it('reports not ready, refuses new work, and completes answers in flight', async () => {
			let finish: (() => void) | undefined;
			const {url, entry, agentCalls} = await start({
				agents: [
					call => {
						finish = () => {
							answerComplete(call, '{"ok":true}');
						};
					},
				],
			});
			const running = post(`${url}/v1/chat/completions`, chat);
			await waitUntil(() => agentCalls.length === 1);
			const drained = entry.drain();
			await waitUntil(() => entry.stats().isShuttingDown);
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

		it('is aborted by an immediate stop', async () => {
			const {url, entry, agentCalls} = await start({
				agents: [
					() => {
						// The agent hangs.
					},
				],
			});
			const running = post(`${url}/v1/chat/completions`, chat);
			await waitUntil(() => agentCalls.length === 1);
			void entry.drain();
			entry.stop();
			await assert.rejects(running);
		});
	});

	describe('the list of models', () => {
		it('is sent only to callers with a key', async () => {
			const {url} = await start();
			const without = await request(`${url}/v1/models`);
			assert.equal(without.statusCode, 401);
			await without.body.dump();
			const res = await request(`${url}/v1/models`, {headers: {authorization}});
			assert.match(await res.body.text(), /salt-orders/v);
		});
	});
});
