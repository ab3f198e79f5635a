import assert from 'node:assert/strict';
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {BackendKind, ConfigView, Dispatch} from '@balsamtray/core';
import {
	callHeader,
	decodeHeader,
	dispatchHeader,
	encodeHeader,
	endTrailer,
	replyHeader,
	type DispatchReply,
} from '@balsamtray/protocol';
import fc from 'fast-check';
import fastify, {type FastifyInstance} from 'fastify';
import {request, type Dispatcher} from 'undici';
import type {ConfigService, Telemetry} from '../common/types.js';
import {AgentTask} from './agent-task.js';

const noop = () => undefined;
const disposable = {dispose: noop};

const telemetry: Telemetry = {
	metrics: {increment: noop, gauge: noop, timing: noop},
	logger: {info: noop, warn: noop, error: noop},
	tracer: {
		startSpan: (_name, parent) => ({
			traceparent: parent ?? '',
			setAttribute: noop,
			end: noop,
		}),
	},
};

const view: ConfigView = {
	version: 3,
	documentDigest: '',
	customer: noop,
	adapter: noop,
	route: noop,
	key: noop,
	isKeyWithdrawn: id => id === 'withdrawn',
	isZoneOut: () => false,
	isServerDrained: () => false,
	lastChangeVersion: () => 0,
	customers: () => [],
	adapters: () => [],
	routes: () => [],
	toSnapshot() {
		throw new Error('not used');
	},
};

const config: ConfigService = {
	view: () => view,
	isReady: () => true,
	changesAfter: () => [],
	learn: noop,
	notePeerVersion: noop,
	onAdvanced: () => disposable,
};

const dispatch: Dispatch = {
	attemptId: 'a1',
	requestId: 'r1',
	entryId: 'e1',
	configVersion: 3,
	customer: 'lakeshore',
	weight: 1,
	target: {kind: 'adapter', adapter: 'salt', version: '1', weights: 'w1'},
	isRepeatable: true,
	promptTokens: 5,
	maxTokens: 5,
	timeLeftMs: 5000,
	fingerprint: 'f1',
};

const chatCall = {
	method: 'POST',
	path: '/v1/chat/completions',
	contentType: 'application/json',
};

const stockCall = {method: 'GET', path: '/stock'};

const streamed = {model: 'x', stream: true, user: 'u'};

/** Writes the fake engine's response to a request. */
type Responder = (attemptId: string, res: ServerResponse) => void;

const event = (id: string, extra: Readonly<Record<string, unknown>> = {}) =>
	`data: ${JSON.stringify({id, model: 'salt@1', choices: [{}], ...extra})}\n\n`;

const usageEvent = (id: string) =>
	event(id, {choices: [], usage: {prompt_tokens: 5, completion_tokens: 2}});

const completeStream: Responder = (attemptId, res) => {
	const id = `chatcmpl-${attemptId}`;
	res.write(event(id));
	res.write(event(id));
	res.write(usageEvent(id));
	res.end('data: [DONE]\n\n');
};

const stockResponse: Responder = (attemptId, res) => {
	res.writeHead(200, {'x-request-id': attemptId});
	res.end('done');
};

class FakeEngine {
	static create(): FakeEngine {
		return new FakeEngine();
	}

	respondToCompletion: Responder = completeStream;
	respondToServiceCall: Responder = stockResponse;

	readonly app: FastifyInstance = fastify();
	readonly loaded = new Set<string>();
	readonly received: Array<{
		readonly headers: IncomingHttpHeaders;
		readonly body: unknown;
	}> = [];

	private constructor() {
		this.app.get('/server_info', () => ({
			boot_id: 'b1',
			uptime_ms: 5,
			loaded_adapters: [...this.loaded],
		}));
		this.app.post<{Body: {lora_name: string}}>('/v1/load_lora_adapter', req => {
			this.loaded.add(req.body.lora_name);
			return {};
		});
		this.app.post('/v1/chat/completions', (req, res) => {
			this.received.push({headers: req.headers, body: req.body});
			res.hijack();
			this.respondToCompletion(String(req.headers['x-request-id']), res.raw);
		});
		this.app.get('/stock', (req, res) => {
			res.hijack();
			this.respondToServiceCall(String(req.headers['x-request-id']), res.raw);
		});
	}
}

describe('AgentTask', () => {
	let engine: FakeEngine;
	let task: AgentTask;
	let peer: FastifyInstance;
	let backendUrl: string;
	let url: string;

	beforeEach(async () => {
		engine = FakeEngine.create();
		backendUrl = await engine.app.listen({host: '127.0.0.1', port: 0});
		await start({kind: 'engine', baseModel: 'base'});
	});

	async function start(backend: BackendKind): Promise<void> {
		task = AgentTask.create({
			settings: {
				server: 's1',
				zone: 'z1',
				incarnation: 'i1',
				backend,
				limits: {
					adapterSlots: 2,
					coldWindow: 2,
					maxWindow: 4,
					maxQueued: 8,
					loadTimeoutMs: 1000,
				},
			},
			backendUrl,
			fencingToken: 1,
			config,
			membership: {
				hosts: () => [],
				find: noop,
				onChanged: () => disposable,
			},
			telemetry,
			clock: Date.now,
			reportSuspects: noop,
		});
		peer = fastify({forceCloseConnections: true});
		await task.register(peer);
		url = await peer.listen({host: '127.0.0.1', port: 0});
		await task.start();
	}

	async function stop(): Promise<void> {
		await task.stop();
		await peer.close();
	}

	afterEach(async () => {
		await stop();
		engine.app.server.closeAllConnections();
		await engine.app.close();
	});

	async function post(
		overrides: Partial<Dispatch> = {},
		body: Readonly<Record<string, unknown>> = streamed,
		signal?: AbortSignal,
	): Promise<Dispatcher.ResponseData> {
		const isService = overrides.target?.kind === 'service';
		return request(`${url}/dispatch`, {
			method: 'POST',
			headers: {
				'content-type': 'application/json',
				authorization: 'Bearer secret',
				[dispatchHeader]: encodeHeader({...dispatch, ...overrides}),
				[callHeader]: encodeHeader(isService ? stockCall : chatCall),
			},
			body: isService ? '' : JSON.stringify(body),
			...(signal && {signal}),
		});
	}

	function replyOf(res: Dispatcher.ResponseData): DispatchReply {
		// The header is written by the agent; the tests check its form.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		return decodeHeader(res.headers[replyHeader]) as DispatchReply;
	}

	describe('with a complete streamed response', () => {
		it('relays it and sends the usage in the trailer', async () => {
			const res = await post();
			const text = await res.body.text();
			assert.equal(replyOf(res).kind, 'answer');
			assert.equal(text.split('\n\n').length, 4);
			assert.ok(text.endsWith('data: [DONE]\n\n'));
			assert.deepEqual(decodeHeader(res.trailers[endTrailer]), {
				attemptId: 'a1',
				usage: {promptTokens: 5, completionTokens: 2},
			});
		});

		it('sends the adapter version to the engine and none of the headers of the caller', async () => {
			const res = await post();
			await res.body.dump();
			const [received] = engine.received;
			assert.deepEqual(received?.body, {
				model: 'salt@1',
				stream: true,
				user: 'u',
				stream_options: {include_usage: true},
				priority: 4,
			});
			assert.equal(received.headers.authorization, undefined);
			assert.equal(received.headers[dispatchHeader], undefined);
		});
	});

	describe('with a truncated streamed response or one of another request', () => {
		const cases: ReadonlyArray<readonly [string, Responder]> = [
			[
				'cut-before-its-end',
				(attemptId, res) => {
					res.write(event(`chatcmpl-${attemptId}`));
					res.end();
				},
			],
			[
				'chunk-of-another-request',
				(attemptId, res) => {
					res.write(event(`chatcmpl-${attemptId}`));
					res.write(event('chatcmpl-other'));
					res.end('data: [DONE]\n\n');
				},
			],
			[
				'chunk-of-another-version',
				(attemptId, res) => {
					res.write(event(`chatcmpl-${attemptId}`));
					res.write(event(`chatcmpl-${attemptId}`, {model: 'salt@2'}));
					res.end('data: [DONE]\n\n');
				},
			],
			[
				'chunk-after-the-end',
				(attemptId, res) => {
					res.write(`${event(`chatcmpl-${attemptId}`)}data: [DONE]\n\n`);
					res.end(event(`chatcmpl-${attemptId}`));
				},
			],
		];
		it('closes the connection without a trailer', async () => {
			for (const [attemptId, responder] of cases) {
				engine.respondToCompletion = responder;
				// Sequential, because the cases share the engine.
				// eslint-disable-next-line no-await-in-loop
				const res = await post({attemptId});
				// eslint-disable-next-line no-await-in-loop
				await assert.rejects(res.body.text(), attemptId);
				assert.equal(res.trailers[endTrailer], undefined, attemptId);
			}
		});

		it('refuses a response whose first chunk is of another request', async () => {
			engine.respondToCompletion = (_attemptId, res) => {
				res.write(event('chatcmpl-other'));
				res.end('data: [DONE]\n\n');
			};

			const reply = replyOf(await post());
			assert.ok(reply.kind === 'refused');
			assert.equal(reply.refusal.code, 'answer_mismatch');
			assert.equal(reply.refusal.notRun, false);
		});
	});

	describe('with a non-streamed response', () => {
		it('relays it only if it belongs to the request', async () => {
			const choices = [{text: 'salt'}];
			engine.respondToCompletion = (attemptId, res) => {
				const id = attemptId === 'a1' ? 'chatcmpl-a1' : 'chatcmpl-other';
				res.end(JSON.stringify({id, model: 'salt@1', choices}));
			};

			const own = await post({}, {model: 'x'});
			assert.match(await own.body.text(), /salt/v);
			assert.ok(own.trailers[endTrailer]);
			const other = replyOf(await post({attemptId: 'a2'}, {model: 'x'}));
			assert.ok(other.kind === 'refused');
			assert.equal(other.refusal.code, 'answer_mismatch');
		});
	});

	describe('beside a plain service', () => {
		const call = {
			target: {kind: 'service', service: 'stock', route: 'stock'},
		} as const;

		beforeEach(async () => {
			await stop();
			await start({kind: 'service', service: 'stock'});
		});

		it('refuses a response to another request', async () => {
			const own = await post(call);
			assert.equal(await own.body.text(), 'done');
			engine.respondToServiceCall = (_attemptId, res) => {
				res.writeHead(200, {'x-request-id': 'other'});
				res.end('done');
			};

			const other = replyOf(await post({...call, attemptId: 'a2'}));
			assert.ok(other.kind === 'refused');
			assert.equal(other.refusal.code, 'answer_mismatch');
			assert.equal(other.refusal.notRun, false);
		});

		// Guards against a reset being taken for the end of a response that only its connection delimits.
		it('closes the connection without a trailer if a response without a length is reset', async () => {
			engine.respondToServiceCall = (attemptId, res) => {
				res.useChunkedEncodingByDefault = false;
				res.writeHead(200, {'x-request-id': attemptId});
				res.write('do');
				setTimeout(() => {
					res.socket?.resetAndDestroy();
				}, 20);
			};

			const res = await post(call);
			await assert.rejects(res.body.text());
			assert.equal(res.trailers[endTrailer], undefined);
		});

		it('applies backpressure to the service while the entry does not read', async () => {
			const chunk = new Uint8Array(1024 * 1024);
			const maxChunks = 64;
			let written = 0;
			engine.respondToServiceCall = (attemptId, res) => {
				res.writeHead(200, {'x-request-id': attemptId});
				const write = () => {
					while (written < maxChunks && res.write(chunk)) {
						written++;
					}

					written++;
					if (written <= maxChunks) {
						res.once('drain', write);
					} else {
						res.end();
					}
				};

				write();
			};

			const res = await post(call);
			await sleep(200);
			const before = written;
			assert.ok(before < maxChunks / 2, `${before} MiB were written`);
			const {byteLength} = await res.body.arrayBuffer();
			assert.ok(byteLength >= (maxChunks * chunk.length) / 2);
			assert.ok(res.trailers[endTrailer]);
		});
	});

	describe('with a repeated attempt identifier', () => {
		it('runs the attempt once', async () => {
			const first = await post();
			await first.body.dump();
			const second = replyOf(await post());
			assert.ok(second.kind === 'refused');
			assert.equal(second.refusal.notRun, false);
			assert.equal(engine.received.length, 1);
		});
	});

	describe('when the entry closes the connection', () => {
		it('aborts the call to the engine', async () => {
			const stopped = new Promise<void>(resolve => {
				engine.respondToCompletion = (attemptId, res) => {
					res.write(event(`chatcmpl-${attemptId}`));
					res.once('close', resolve);
				};
			});

			const controller = new AbortController();
			const res = await post({}, streamed, controller.signal);
			assert.equal(replyOf(res).kind, 'answer');
			controller.abort();
			await assert.rejects(res.body.text());
			await stopped;
			// The agent detects the end of the call shortly after the engine.
			await sleep(20);
			assert.equal(task.probe({}).running, 0);
		});
	});

	describe('while draining', () => {
		it('completes running attempts and refuses new ones', async () => {
			let finish = noop as () => void;
			engine.respondToCompletion = (attemptId, res) => {
				res.write(event(`chatcmpl-${attemptId}`));
				finish = () => {
					completeStream(attemptId, res);
					return undefined;
				};
			};

			const running = await post();
			const drained = task.drain();
			const refused = replyOf(await post({attemptId: 'a2'}));
			assert.ok(refused.kind === 'refused');
			assert.equal(refused.refusal.code, 'shutting_down');
			assert.equal(refused.refusal.notRun, true);
			finish();
			const text = await running.body.text();
			assert.ok(text.endsWith('data: [DONE]\n\n'));
			assert.ok(running.trailers[endTrailer]);
			await drained;
		});
	});

	describe('with bad input', () => {
		it('refuses a withdrawn key', async () => {
			const reply = replyOf(await post({keyId: 'withdrawn'}));
			assert.ok(reply.kind === 'refused');
			assert.equal(reply.refusal.code, 'unauthorized');
		});

		it('rejects arbitrary headers and keeps serving', async () => {
			const text = fc.oneof(
				fc.string({unit: 'grapheme-ascii'}),
				fc.jsonValue().map(value => encodeHeader({value})),
				fc.object().map(value => encodeHeader({...dispatch, ...value})),
			);
			const header = text.filter(value => /^[\u0020-\u007E]*$/v.test(value));
			await fc.assert(
				fc.asyncProperty(header, header, async (first, second) => {
					const res = await peer.inject({
						method: 'POST',
						url: '/dispatch',
						headers: {[dispatchHeader]: first, [callHeader]: second},
						payload: 'x',
					});
					assert.equal(res.statusCode, 400);
				}),
				{numRuns: 300, seed: 1},
			);
			assert.equal(engine.received.length, 0);
			assert.equal(replyOf(await post()).kind, 'answer');
		});
	});
});
