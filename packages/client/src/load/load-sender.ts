import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import type {Random} from '@balsamtray/core';
import {Agent, request, type Dispatcher} from 'undici';
import {z} from 'zod';
import type {LoadOutcome, LoadPlan, LoadWork} from './types.js';

const okStatus = 200;
const redirectStatus = 300;
const endMark = 'data: [DONE]';
/** Characters at the end of a stream in which its end mark stands. */
const tailCharacters = 64;

const errorSchema = z.object({
	error: z.object({code: z.string(), not_run: z.boolean().optional()}),
});

/** Sends requests of a load run and tells how they ended. */
export class LoadSender {
	static create(plan: LoadPlan, random: Random): LoadSender {
		return new LoadSender(plan, random);
	}

	private readonly _agent: Dispatcher;
	private _count = 0;

	private constructor(
		private readonly _plan: LoadPlan,
		private readonly _random: Random,
	) {
		this._agent = new Agent({
			connections: Math.ceil(_plan.connections / _plan.targets.length),
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}

	/** Sends one request that was due at the time of `performance.now()`. */
	async send(dueAt: number): Promise<LoadOutcome> {
		const {targets, timeoutMs, work} = this._plan;
		const target = targets[this._count++ % targets.length] ?? '';
		const signal = AbortSignal.timeout(timeoutMs);
		try {
			const res = await request(new URL(pathOf(work), target), {
				dispatcher: this._agent,
				method: 'POST',
				headers: this._headers(),
				body: this._bodyOf(work),
				signal,
			});
			return await readAnswer(res, work, dueAt);
		} catch {
			return {
				reason: signal.aborted ? 'timeout' : 'connection_failed',
				isOk: false,
				isNotRun: false,
				totalMs: performance.now() - dueAt,
			};
		}
	}

	async close(): Promise<void> {
		await this._agent.destroy();
	}

	private _headers(): Record<string, string> {
		const {key, work} = this._plan;
		return {
			'content-type': contentTypeOf(work),
			...(key !== '' && {authorization: `Bearer ${key}`}),
			...(work.kind === 'service' && {'idempotency-key': randomUUID()}),
		};
	}

	private _bodyOf(work: LoadWork): string {
		if (work.kind === 'service') {
			return work.body;
		}

		const index = Math.floor(this._random() * work.models.length);
		return JSON.stringify({
			model: work.models[index],
			messages: [{role: 'user', content: work.prompt}],
			// The names are those of the OpenAI-compatible protocol.
			max_tokens: work.maxTokens,
			stream: true,
		});
	}
}

function pathOf(work: LoadWork): string {
	return work.kind === 'chat'
		? '/v1/chat/completions'
		: `/services/${work.route}`;
}

function contentTypeOf(work: LoadWork): string {
	return work.kind === 'chat' || isJson(work.body)
		? 'application/json'
		: 'text/plain';
}

function isJson(text: string): boolean {
	try {
		JSON.parse(text);
		return true;
	} catch {
		return false;
	}
}

async function readAnswer(
	res: Dispatcher.ResponseData,
	work: LoadWork,
	dueAt: number,
): Promise<LoadOutcome> {
	const isSuccess =
		res.statusCode >= okStatus && res.statusCode < redirectStatus;
	if (!isSuccess) {
		const text = await res.body.text();
		return {
			...refusalOf(res.statusCode, text),
			isOk: false,
			totalMs: performance.now() - dueAt,
		};
	}

	const {firstByteMs, tail} = await readBody(res, dueAt);
	const isWhole = work.kind === 'service' || tail.includes(endMark);
	return {
		reason: isWhole ? 'ok' : 'answer_cut',
		isOk: isWhole,
		isNotRun: false,
		firstByteMs,
		totalMs: performance.now() - dueAt,
	};
}

/** Reads a body without keeping it. Its end tells whether a stream is whole. */
async function readBody(res: Dispatcher.ResponseData, dueAt: number) {
	const decoder = new TextDecoder();
	let firstByteMs: number | undefined;
	let tail = '';
	for await (const chunk of res.body) {
		firstByteMs ??= performance.now() - dueAt;
		if (chunk instanceof Uint8Array) {
			const text = decoder.decode(chunk, {stream: true});
			tail = (tail + text).slice(-tailCharacters);
		}
	}

	return {firstByteMs: firstByteMs ?? performance.now() - dueAt, tail};
}

function refusalOf(status: number, text: string) {
	try {
		const {error} = errorSchema.parse(JSON.parse(text));
		return {reason: error.code, isNotRun: error.not_run ?? false};
	} catch {
		return {reason: `status_${status}`, isNotRun: false};
	}
}
