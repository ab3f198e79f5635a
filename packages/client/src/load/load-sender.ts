import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import type {Random} from '@balsamtray/core';
import {Agent, request, type Dispatcher} from 'undici';
import {z} from 'zod';
import type {LoadOutcome, LoadPlan, Workload} from './types.js';

const minSuccessStatus = 200;
const minRedirectStatus = 300;
const endMarker = 'data: [DONE]';
/** Number of trailing characters of a stream that are searched for the end marker. */
const tailLength = 64;

const errorSchema = z.object({
	error: z.object({code: z.string(), not_run: z.boolean().optional()}),
});

/** Sends the requests of a load run and determines their outcomes. */
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

	/** Sends one request. `dueAt` is its due time on the clock of `performance.now()`, in milliseconds. */
	async send(dueAt: number): Promise<LoadOutcome> {
		const {targets, timeoutMs, workload} = this._plan;
		const target = targets[this._count++ % targets.length] ?? '';
		const signal = AbortSignal.timeout(timeoutMs);
		try {
			const res = await request(new URL(pathOf(workload), target), {
				dispatcher: this._agent,
				method: 'POST',
				headers: this._headers(),
				body: this._bodyOf(workload),
				signal,
			});
			return await readResponse(res, workload, dueAt);
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
		const {key, workload} = this._plan;
		return {
			'content-type': contentTypeOf(workload),
			...(key !== '' && {authorization: `Bearer ${key}`}),
			...(workload.kind === 'service' && {'idempotency-key': randomUUID()}),
		};
	}

	private _bodyOf(workload: Workload): string {
		if (workload.kind === 'service') {
			return workload.body;
		}

		const index = Math.floor(this._random() * workload.models.length);
		return JSON.stringify({
			model: workload.models[index],
			messages: [{role: 'user', content: workload.prompt}],
			// Names from the OpenAI-compatible API.
			max_tokens: workload.maxTokens,
			stream: true,
		});
	}
}

function pathOf(workload: Workload): string {
	return workload.kind === 'chat'
		? '/v1/chat/completions'
		: `/services/${workload.route}`;
}

function contentTypeOf(workload: Workload): string {
	return workload.kind === 'chat' || isJson(workload.body)
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

async function readResponse(
	res: Dispatcher.ResponseData,
	workload: Workload,
	dueAt: number,
): Promise<LoadOutcome> {
	const isSuccess =
		res.statusCode >= minSuccessStatus && res.statusCode < minRedirectStatus;
	if (!isSuccess) {
		const text = await res.body.text();
		return {
			...parseRefusal(res.statusCode, text),
			isOk: false,
			totalMs: performance.now() - dueAt,
		};
	}

	const {firstByteMs, tail} = await readBody(res, dueAt);
	const isComplete = workload.kind === 'service' || tail.includes(endMarker);
	return {
		reason: isComplete ? 'ok' : 'answer_cut',
		isOk: isComplete,
		isNotRun: false,
		firstByteMs,
		totalMs: performance.now() - dueAt,
	};
}

/** Reads a body and keeps only its tail, which shows whether a stream is complete. */
async function readBody(res: Dispatcher.ResponseData, dueAt: number) {
	const decoder = new TextDecoder();
	let firstByteMs: number | undefined;
	let tail = '';
	for await (const chunk of res.body) {
		firstByteMs ??= performance.now() - dueAt;
		if (chunk instanceof Uint8Array) {
			const text = decoder.decode(chunk, {stream: true});
			tail = (tail + text).slice(-tailLength);
		}
	}

	return {firstByteMs: firstByteMs ?? performance.now() - dueAt, tail};
}

function parseRefusal(status: number, text: string) {
	try {
		const {error} = errorSchema.parse(JSON.parse(text));
		return {reason: error.code, isNotRun: error.not_run ?? false};
	} catch {
		return {reason: `status_${status}`, isNotRun: false};
	}
}
