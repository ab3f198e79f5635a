import type {Usage} from '@balsamtray/core';
import {z} from 'zod';

const count = z.number().int().nonnegative();

const answerSchema = z.object({
	id: z.string(),
	model: z.string(),
	choices: z.array(z.unknown()).default([]),
	usage: z.object({prompt_tokens: count, completion_tokens: count}).nullish(),
});

/** What an answer, or one chunk of it, says about itself. */
export type AnswerPart = {
	readonly hasChoices: boolean;
	readonly usage?: Usage;
};

/** Checks that answers belong to one attempt and its adapter version. */
export type AnswerCheck = (text: string) => AnswerPart | undefined;

/**
 * Creates the check for one attempt. It returns undefined for an answer of another request,
 * another adapter or version, or of no known form.
 */
export function createAnswerCheck(
	attemptId: string,
	servedName: string,
): AnswerCheck {
	const ids = new Set([`chatcmpl-${attemptId}`, `cmpl-${attemptId}`]);
	return text => {
		const {data} = answerSchema.safeParse(parseJson(text));
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
