import {Buffer} from 'node:buffer';
import type {RequestedWork} from '@balsamtray/core';
import {z} from 'zod';
import {defaultMaxTokens, maxTokensLimit} from './constants.js';

/** A model call with the body that the backend server receives. */
export type ModelCall = {
	readonly work: RequestedWork;
	readonly body: Uint8Array;
	readonly isStreamed: boolean;
};

/** Result of parsing the body of a model call. */
export type ModelCallResult =
	| {readonly kind: 'parsed'; readonly call: ModelCall}
	| {readonly kind: 'malformed'; readonly message: string};

/** Kind of a model call, which selects the schema of its body. */
export type ModelCallKind = 'chat' | 'completion';

const tokenLimit = z.number().int().min(1).max(maxTokensLimit);

const commonFields = {
	model: z.string().min(1).max(400),
	stream: z.boolean().nullish(),
	max_tokens: tokenLimit.nullish(),
	max_completion_tokens: tokenLimit.nullish(),
	n: z.number().int().min(1).max(16).nullish(),
};

const chatBody = z.looseObject({
	...commonFields,
	messages: z.array(z.looseObject({role: z.string()})).min(1),
});

const completionBody = z.looseObject({
	...commonFields,
	prompt: z.union([z.string(), z.array(z.union([z.string(), z.number()]))]),
});

/** Bytes per token in the estimate of a prompt. Lower than the usual ratio, so the estimate is rarely too low. */
const bytesPerToken = 3;

/** Tokens that each message adds to those of its text. */
const tokensPerMessage = 4;

/** Parses the body of a chat or completion call and adds the default token limit if the caller sets none. */
export function parseModelCall(
	kind: ModelCallKind,
	body: Uint8Array,
): ModelCallResult {
	const json = parseJson(body);
	if (json === undefined) {
		return {kind: 'malformed', message: 'The body is not JSON.'};
	}

	const result =
		kind === 'chat' ? chatBody.safeParse(json) : completionBody.safeParse(json);
	if (!result.success) {
		return {kind: 'malformed', message: messageOf(result.error)};
	}

	const fields = result.data;
	const maxTokens =
		fields.max_completion_tokens ?? fields.max_tokens ?? defaultMaxTokens;
	const prompt = kind === 'chat' ? fields.messages : fields.prompt;
	// The limit is sent as `max_tokens`, the name that callers know.
	const limited = {...fields, max_tokens: maxTokens};
	return {
		kind: 'parsed',
		call: {
			work: {
				kind: 'model',
				model: fields.model,
				promptTokens: estimateTokens(prompt),
				maxTokens: maxTokens * (fields.n ?? 1),
			},
			body: Buffer.from(JSON.stringify(limited)),
			isStreamed: fields.stream ?? false,
		},
	};
}

/** Estimates the tokens of a prompt from its length in bytes. */
export function estimateTokens(prompt: unknown): number {
	const bytes = Buffer.byteLength(JSON.stringify(prompt) ?? '');
	const messages = Array.isArray(prompt) ? prompt.length : 1;
	return Math.ceil(bytes / bytesPerToken) + messages * tokensPerMessage;
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(body).toString('utf8')) as unknown;
	} catch {
		return undefined;
	}
}

/** Describes the first invalid field by its path, never by its value. */
function messageOf(error: z.ZodError): string {
	const [issue] = error.issues;
	const path = issue?.path.join('.') ?? '';
	return path === ''
		? 'The body must be a JSON object.'
		: `The field ${path.slice(0, 100)} is missing or malformed.`;
}
