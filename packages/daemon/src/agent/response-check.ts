import type {Usage} from '@balsamtray/core';
import {z} from 'zod';

const count = z.number().int().nonnegative();

const responseSchema = z.object({
	id: z.string(),
	model: z.string(),
	choices: z.array(z.unknown()).default([]),
	usage: z.object({prompt_tokens: count, completion_tokens: count}).nullish(),
});

/** Checked content of a complete response or of one streamed chunk. */
export type ResponsePart = {
	readonly hasChoices: boolean;
	readonly usage?: Usage;
};

/** Checks that a response or chunk belongs to one attempt and its adapter version. */
export type ResponseCheck = (text: string) => ResponsePart | undefined;

/**
 * Creates the check for one attempt. The check returns undefined if the text belongs to another
 * request, adapter or version, or is malformed.
 */
export function createResponseCheck(
	attemptId: string,
	servedName: string,
): ResponseCheck {
	const ids = new Set([`chatcmpl-${attemptId}`, `cmpl-${attemptId}`]);
	return text => {
		const {data} = responseSchema.safeParse(parseJson(text));
		if (!data || !ids.has(data.id) || data.model !== servedName) {
			return undefined;
		}

		return {
			hasChoices: data.choices.length > 0,
			...(data.usage && {
				usage: {
					promptTokens: data.usage.prompt_tokens,
					completionTokens: data.usage.completion_tokens,
				},
			}),
		};
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
