/** Identity of the request that a completion belongs to, as the completion's identifier, model and text show it. */
export type CompletionIdentity = {
	readonly requestId: string;
	readonly servedName: string;
	readonly weights: string;
	readonly prompt: string;
};

const maxEchoLength = 80;

/**
 * Returns the text of a token, numbered from 1. The first token names the served adapter version, its weights and the
 * request, and echoes the start of the prompt. The last token contains the end marker.
 */
export function tokenText(
	identity: CompletionIdentity,
	token: number,
	tokens: number,
): string {
	const parts: string[] = [];
	if (token === 1) {
		const {servedName, weights, requestId, prompt} = identity;
		const echo = prompt.slice(0, maxEchoLength);
		parts.push(
			`[model=${servedName} weights=${weights} request=${requestId}] ${echo}`,
		);
	} else {
		parts.push(` w${token}`);
	}

	if (token === tokens) {
		parts.push(` [end=${identity.requestId} tokens=${tokens}]`);
	}

	return parts.join('');
}

/** Returns the text of all tokens of a completion. */
export function completionText(
	identity: CompletionIdentity,
	tokens: number,
): string {
	return Array.from({length: tokens}, (_, i) =>
		tokenText(identity, i + 1, tokens),
	).join('');
}

/** Estimates the number of tokens in a text, at four characters per token. */
export function countTokens(text: string): number {
	return Math.ceil(text.length / 4);
}
