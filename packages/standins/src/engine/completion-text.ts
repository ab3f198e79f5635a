/** Whose answer a completion is: what its identifier, model and text say. */
export type AnswerIdentity = {
	readonly requestId: string;
	readonly servedName: string;
	readonly weights: string;
	readonly prompt: string;
};

const longestEcho = 80;

/**
 * Text of the answer's token, from 1. The first names the served adapter version, its weights and the request,
 * the last marks the end.
 */
export function tokenText(
	identity: AnswerIdentity,
	token: number,
	tokens: number,
): string {
	const parts: string[] = [];
	if (token === 1) {
		const {servedName, weights, requestId, prompt} = identity;
		const echo = prompt.slice(0, longestEcho);
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

/** Whole text of an answer. */
export function wholeText(identity: AnswerIdentity, tokens: number): string {
	return Array.from({length: tokens}, (_, i) =>
		tokenText(identity, i + 1, tokens),
	).join('');
}

/** Tokens of a text, estimated as the engine does. */
export function countTokens(text: string): number {
	return Math.ceil(text.length / 4);
}
