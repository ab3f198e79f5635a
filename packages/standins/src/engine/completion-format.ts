import {
	countTokens,
	tokenText,
	completionText,
	type CompletionIdentity,
} from './completion-text.js';
import type {CompletionRequest} from './completion-request.js';

/** Last event of a streamed response. */
export const doneEvent = 'data: [DONE]\n\n';

/** Derives the completion identifier from the caller's request identifier. */
export function completionId(
	kind: CompletionRequest['kind'],
	requestId: string,
): string {
	return `${kind === 'chat' ? 'chatcmpl' : 'cmpl'}-${requestId}`;
}

/** Returns the JSON body of a non-streamed response. */
export function completionBody(
	request: CompletionRequest,
	identity: CompletionIdentity,
): string {
	const text = completionText(identity, request.tokens);
	const choice =
		request.kind === 'chat'
			? {message: {role: 'assistant', content: text}}
			: {text};
	return JSON.stringify({
		...commonFieldsOf(request, identity, ''),
		choices: [{index: 0, ...choice, finish_reason: 'stop'}],
		usage: usageOf(request),
	});
}

/** Returns the event that carries one token of a streamed response. Tokens are numbered from 1. */
export function tokenEvent(
	request: CompletionRequest,
	identity: CompletionIdentity,
	token: number,
): string {
	const text = tokenText(identity, token, request.tokens);
	const choice =
		request.kind === 'chat'
			? {delta: {role: 'assistant', content: text}}
			: {text};
	const finishReason = token === request.tokens ? 'stop' : null;
	return toEvent({
		...commonFieldsOf(request, identity, '.chunk'),
		choices: [{index: 0, ...choice, finish_reason: finishReason}],
	});
}

/** Returns the usage event, which a streamed response sends after its last token. */
export function usageEvent(
	request: CompletionRequest,
	identity: CompletionIdentity,
): string {
	return toEvent({
		...commonFieldsOf(request, identity, '.chunk'),
		choices: [],
		usage: usageOf(request),
	});
}

function commonFieldsOf(
	request: CompletionRequest,
	identity: CompletionIdentity,
	suffix: string,
): Readonly<Record<string, unknown>> {
	const object =
		request.kind === 'chat' ? `chat.completion${suffix}` : 'text_completion';
	return {
		id: completionId(request.kind, identity.requestId),
		object,
		created: 0,
		model: identity.servedName,
	};
}

function usageOf(request: CompletionRequest): Readonly<Record<string, number>> {
	const promptTokens = countTokens(request.prompt);
	return {
		prompt_tokens: promptTokens,
		completion_tokens: request.tokens,
		total_tokens: promptTokens + request.tokens,
	};
}

function toEvent(data: Readonly<Record<string, unknown>>): string {
	return `data: ${JSON.stringify(data)}\n\n`;
}
