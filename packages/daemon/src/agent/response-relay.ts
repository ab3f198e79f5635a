import {Buffer} from 'node:buffer';
import type {BackendFault, Usage} from '@balsamtray/core';
import type {Dispatcher} from 'undici';
import {type ResponseCheck, type ResponsePart} from './response-check.js';
import {completeResponseLimitBytes} from './constants.js';
import {parseEventData, EventSplitter} from './event-splitter.js';
import type {ResponseSink, CallOutcome} from './types.js';

/** Data of the last event of a complete streamed response. */
const endOfStreamData = '[DONE]';

const decoder = new TextDecoder();

/** Thrown when a response must not be relayed any further. */
class UnusableResponseError extends Error {
	constructor(readonly fault: BackendFault) {
		super(`unusable response from the backend server: ${fault}`);
	}
}

/** Relays a streamed completion. Checks each event before it is sent. */
export async function relayEvents(
	res: Dispatcher.ResponseData,
	sink: ResponseSink,
	check: ResponseCheck,
	options: {readonly promptTokens: number; readonly isUsageRequested: boolean},
): Promise<CallOutcome> {
	const splitter = EventSplitter.create();
	let usage: Usage = {promptTokens: options.promptTokens, completionTokens: 0};
	let isDone = false;
	let hasBegun = false;
	const relay = async (event: Uint8Array) => {
		if (isDone) {
			throw new UnusableResponseError('mismatch');
		}

		const data = parseEventData(event);
		isDone = data === endOfStreamData;
		const part =
			data === undefined || isDone ? undefined : checkedPart(check, data);
		usage = addUsage(usage, part);
		if (part?.hasChoices) {
			sink.onTokens(1);
		}

		const isUsageOnly = part?.usage !== undefined && !part.hasChoices;
		if (isUsageOnly && !options.isUsageRequested) {
			return;
		}

		if (!hasBegun) {
			hasBegun = true;
			sink.begin(res.statusCode, readContentType(res));
		}

		await sink.write(event);
	};

	return toOutcome(async () => {
		for await (const chunk of bodyChunks(res)) {
			for (const event of splitter.push(chunk)) {
				// Events are sent in order, with backpressure.
				// eslint-disable-next-line no-await-in-loop
				await relay(event);
			}
		}

		return isDone && splitter.bufferedLength === 0
			? {kind: 'completed', usage}
			: {kind: 'failed', fault: 'connection_lost'};
	});
}

/** Relays a non-streamed completion once it is complete and checked. */
export async function relayComplete(
	res: Dispatcher.ResponseData,
	sink: ResponseSink,
	check: ResponseCheck,
	promptTokens: number,
): Promise<CallOutcome> {
	return toOutcome(async () => {
		const bytes = await readAll(res);
		const part = checkedPart(check, decoder.decode(bytes));
		sink.begin(res.statusCode, readContentType(res));
		await sink.write(bytes);
		return {
			kind: 'completed',
			usage: part.usage ?? {promptTokens, completionTokens: 0},
		};
	});
}

/** Relays a response without checking its content. Only a truncated body is detected. */
export async function relayBytes(
	res: Dispatcher.ResponseData,
	sink: ResponseSink,
): Promise<CallOutcome> {
	return toOutcome(async () => {
		sink.begin(res.statusCode, readContentType(res));
		for await (const chunk of bodyChunks(res)) {
			await sink.write(chunk);
		}

		return {
			kind: 'completed',
			usage: {promptTokens: 0, completionTokens: 0},
		};
	});
}

/** Runs a relay and turns its errors into a failed outcome. */
async function toOutcome(
	relay: () => Promise<CallOutcome>,
): Promise<CallOutcome> {
	try {
		return await relay();
	} catch (error) {
		const fault =
			error instanceof UnusableResponseError ? error.fault : 'connection_lost';
		return {kind: 'failed', fault};
	}
}

function bodyChunks({
	body,
}: Dispatcher.ResponseData): AsyncIterable<Uint8Array> {
	return body;
}

async function readAll(res: Dispatcher.ResponseData): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	for await (const chunk of bodyChunks(res)) {
		chunks.push(chunk);
		length += chunk.length;
		if (length > completeResponseLimitBytes) {
			throw new UnusableResponseError('failed');
		}
	}

	return Buffer.concat(chunks);
}

function checkedPart(check: ResponseCheck, text: string): ResponsePart {
	const part = check(text);
	if (!part) {
		throw new UnusableResponseError('mismatch');
	}

	return part;
}

function addUsage(usage: Usage, part: ResponsePart | undefined): Usage {
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

function readContentType(res: Dispatcher.ResponseData): string {
	const value = res.headers['content-type'];
	return typeof value === 'string' ? value : 'application/octet-stream';
}
