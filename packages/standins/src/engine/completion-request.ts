import {z} from 'zod';

const defaultMaxTokens = 16;
const tokensPattern = /tokens=(?<tokens>\d+)/v;

const bodySchema = z.looseObject({
	model: z.string(),
	priority: z.number().default(0),
	stream: z.boolean().default(false),
	max_tokens: z.number().int().positive().optional(),
	max_completion_tokens: z.number().int().positive().optional(),
	stream_options: z
		.looseObject({include_usage: z.boolean().default(false)})
		.optional(),
	messages: z.array(z.looseObject({content: z.unknown()})).optional(),
	prompt: z.unknown().optional(),
});

/** A parsed completion request. */
export type CompletionRequest = {
	readonly kind: 'chat' | 'text';
	readonly servedName: string;
	readonly priority: number;
	readonly isStreamed: boolean;
	readonly includesUsage: boolean;
	readonly prompt: string;
	/** Length of the response: the token limit, or `N` if the prompt contains `tokens=N` and N is lower. */
	readonly tokens: number;
};

/** Parses the body of a completion request. Returns undefined if it is malformed. */
export function parseCompletion(
	kind: 'chat' | 'text',
	text: string,
): CompletionRequest | undefined {
	const parsed = bodySchema.safeParse(parseJson(text));
	if (!parsed.success) {
		return undefined;
	}

	const body = parsed.data;
	const prompt = promptOf(body.messages, body.prompt);
	const limit =
		body.max_tokens ?? body.max_completion_tokens ?? defaultMaxTokens;
	const requestedTokens = Number(
		tokensPattern.exec(prompt)?.groups?.tokens ?? limit,
	);
	return {
		kind,
		servedName: body.model,
		priority: body.priority,
		isStreamed: body.stream,
		includesUsage: body.stream_options?.include_usage ?? false,
		prompt,
		tokens: Math.max(1, Math.min(limit, requestedTokens)),
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function promptOf(
	messages: ReadonlyArray<{readonly content: unknown}> | undefined,
	prompt: unknown,
): string {
	if (messages !== undefined) {
		return messages.map(({content}) => textOf(content)).join('\n');
	}

	return textOf(prompt);
}

function textOf(value: unknown): string {
	return typeof value === 'string' ? value : JSON.stringify(value ?? '');
}
