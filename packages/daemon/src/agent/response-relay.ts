import {Buffer} from 'node:buffer';
import type {BackendFault, Usage} from '@balsamtray/core';
import type {Dispatcher} from 'undici';
import {type AnswerCheck, type AnswerPart} from './response-check.js';
import {wholeAnswerLimitBytes} from './constants.js';
import {dataOf, EventSplitter} from './event-splitter.js';
import type {AnswerSink, CallOutcome} from './types.js';

/** Marks the whole end of a streamed answer. */
const doneData = '[DONE]';

const decoder = new TextDecoder();

/** An answer that must not be relayed any further. */
class AnswerError extends Error {
	constructor(readonly fault: BackendFault) {
		super(`the answer is not usable: ${fault}`);
	}
}

/** Relays a streamed completion event by event, each checked before it goes out. */
export async function relayEvents(
	res: Dispatcher.ResponseData,
	sink: AnswerSink,
	check: AnswerCheck,
	options: {readonly promptTokens: number; readonly wantsUsage: boolean},
): Promise<CallOutcome> {
	const splitter = EventSplitter.create();
	let usage: Usage = {promptTokens: options.promptTokens, completionTokens: 0};
	let isDone = false;
	let hasBegun = false;
	const relay = async (event: Uint8Array) => {
		if (isDone) {
			throw new AnswerError('mismatch');
		}

		const data = dataOf(event);
		isDone = data === doneData;
		const part =
			data === undefined || isDone ? undefined : checked(check, data);
		usage = nextUsage(usage, part);
		if (part?.hasChoices) {
			sink.onTokens(1);
		}

		const isUsageOnly = part?.usage !== undefined && !part.hasChoices;
		if (isUsageOnly && !options.wantsUsage) {
			return;
		}

		if (!hasBegun) {
			hasBegun = true;
			sink.begin(res.statusCode, contentTypeOf(res));
		}

		await sink.write(event);
	};

	return settle(async () => {
		for await (const chunk of bytesOf(res)) {
			for (const event of splitter.push(chunk)) {
				// Events go out one after the other, each once there is room.
				// eslint-disable-next-line no-await-in-loop
				await relay(event);
			}
		}

		return isDone && splitter.restLength === 0
			? {kind: 'completed', usage}
			: {kind: 'failed', fault: 'connection_lost'};
	});
}

/** Relays a whole completion after it was checked. */
export async function relayWhole(
	res: Dispatcher.ResponseData,
	sink: AnswerSink,
	check: AnswerCheck,
	promptTokens: number,
): Promise<CallOutcome> {
	return settle(async () => {
		const bytes = await readAll(res);
		const part = checked(check, decoder.decode(bytes));
		sink.begin(res.statusCode, contentTypeOf(res));
		await sink.write(bytes);
		return {
			kind: 'completed',
			usage: part.usage ?? {promptTokens, completionTokens: 0},
		};
	});
}

/** Relays an answer of which only the length can be checked. */
export async function relayBytes(
	res: Dispatcher.ResponseData,
	sink: AnswerSink,
): Promise<CallOutcome> {
	return settle(async () => {
		sink.begin(res.statusCode, contentTypeOf(res));
		for await (const chunk of bytesOf(res)) {
			await sink.write(chunk);
		}

		return {
			kind: 'completed',
			usage: {promptTokens: 0, completionTokens: 0},
		};
	});
}

async function settle(relay: () => Promise<CallOutcome>): Promise<CallOutcome> {
	try {
		return await relay();
	} catch (error) {
		const fault =
			error instanceof AnswerError ? error.fault : 'connection_lost';
		return {kind: 'failed', fault};
	}
}

function bytesOf({body}: Dispatcher.ResponseData): AsyncIterable<Uint8Array> {
	return body;
}

async function readAll(res: Dispatcher.ResponseData): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	for await (const chunk of bytesOf(res)) {
		chunks.push(chunk);
		length += chunk.length;
		if (length > wholeAnswerLimitBytes) {
			throw new AnswerError('failed');
		}
	}

	return Buffer.concat(chunks);
}

function checked(check: AnswerCheck, text: string): AnswerPart {
	const part = check(text);
	if (!part) {
		throw new AnswerError('mismatch');
	}

	return part;
}

function nextUsage(usage: Usage, part: AnswerPart | undefined): Usage {
	if (!part) {
		return usage;
	}

	const {promptTokens, completionTokens} = usage;
	return (
		part.usage ?? {
			promptTokens,
			completionTokens: completionTokens + (part.hasChoices ? 1 : 0),
		}
	);
}

function contentTypeOf(res: Dispatcher.ResponseData): string {
	const value = res.headers['content-type'];
	return typeof value === 'string' ? value : 'application/octet-stream';
}
