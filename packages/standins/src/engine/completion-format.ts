import {
	countTokens,
	tokenText,
	wholeText,
	type AnswerIdentity,
} from './completion-text.js';
import type {CompletionRequest} from './completion-request.js';

/** Last event of a streamed answer. */
export const doneEvent = 'data: [DONE]\n\n';

/** Identifier of a completion, made from the caller's request identifier. */
export function completionId(
	kind: CompletionRequest['kind'],
	requestId: string,
): string {
	return `${kind === 'chat' ? 'chatcmpl' : 'cmpl'}-${requestId}`;
}

/** Body of a whole answer. */
export function wholeAnswer(
	request: CompletionRequest,
	identity: AnswerIdentity,
): string {
	const text = wholeText(identity, request.tokens);
	const choice =
		request.kind === 'chat'
			? {message: {role: 'assistant', content: text}}
			: {text};
	return JSON.stringify({
		...headOf(request, identity, ''),
		choices: [{index: 0, ...choice, finish_reason: 'stop'}],
		usage: usageOf(request),
	});
}

/** Event of one token of a streamed answer. */
export function tokenEvent(
	request: CompletionRequest,
	identity: AnswerIdentity,
	token: number,
): string {
	const text = tokenText(identity, token, request.tokens);
	const choice =
		request.kind === 'chat'
			? {delta: {role: 'assistant', content: text}}
			: {text};
	const finishReason = token === request.tokens ? 'stop' : null;
	return toEvent({
		...headOf(request, identity, '.chunk'),
		choices: [{index: 0, ...choice, finish_reason: finishReason}],
	});
}

/** Event with the usage that ends a streamed answer. */
export function usageEvent(
	request: CompletionRequest,
	identity: AnswerIdentity,
): string {
	return toEvent({
		...headOf(request, identity, '.chunk'),
		choices: [],
		usage: usageOf(request),
	});
}

function headOf(
	request: CompletionRequest,
	identity: AnswerIdentity,
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
