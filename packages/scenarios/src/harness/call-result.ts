import {z} from 'zod';
/** What a caller got. */
export type CallResult = {
	/** Absent when no answer came. */
	readonly status?: number;
	readonly headers: Readonly<
		Record<string, string | readonly string[] | undefined>
	>;
	readonly text: string;
	/** Whether the connection delivered the body to its end. */
	readonly isEnded: boolean;
	/** What broke the connection, if anything did. */
	readonly error?: string;
	readonly sentAt: number;
	readonly endedAt: number;
};

/** Error body of a refusal. */
export type RefusalBody = {
	readonly code: string;
	readonly message: string;
	readonly notRun: boolean;
	readonly requestId: string | undefined;
};

/** A completion as a caller reads it, streamed or whole. */
export type Completion = {
	readonly ids: readonly string[];
	readonly models: readonly string[];
	readonly text: string;
	readonly completionTokens: number | undefined;
	/** Whether the answer says itself that it is whole. */
	readonly isWhole: boolean;
};

const refusalSchema = z.object({
	error: z.object({
		code: z.string(),
		message: z.string(),
		not_run: z.boolean(),
		request_id: z.string().optional(),
	}),
});

const choiceSchema = z.object({
	text: z.string().optional(),
	delta: z.object({content: z.string().optional()}).optional(),
	message: z.object({content: z.string().optional()}).optional(),
});

const chunkSchema = z.object({
	id: z.string().optional(),
	model: z.string().optional(),
	choices: z.array(choiceSchema).default([]),
	usage: z.object({completion_tokens: z.number()}).nullish(),
});

type Choice = z.infer<typeof choiceSchema>;
type Chunk = z.infer<typeof chunkSchema>;

const doneData = '[DONE]';

/** Reads the error body of a refusal. */
export function refusalOf(result: CallResult): RefusalBody {
	const {error} = refusalSchema.parse(JSON.parse(result.text));
	return {
		code: error.code,
		message: error.message,
		notRun: error.not_run,
		requestId: error.request_id,
	};
}

/** Reads a completion from a whole answer or the events of a streamed one. */
export function completionOf(result: CallResult): Completion {
	return result.text.startsWith('data:')
		? fromEvents(result)
		: fromChunks([chunkSchema.parse(JSON.parse(result.text))], result.isEnded);
}

function fromEvents(result: CallResult): Completion {
	const events = result.text
		.split('\n\n')
		.filter(event => event.startsWith('data: '))
		.map(event => event.slice('data: '.length));
	const isWhole = result.isEnded && events.at(-1) === doneData;
	const chunks = events
		.filter(data => data !== doneData)
		.flatMap(data => parseChunk(data));
	return fromChunks(chunks, isWhole);
}

/** An event of an answer that was cut may itself be cut. */
function parseChunk(data: string): readonly Chunk[] {
	try {
		return [chunkSchema.parse(JSON.parse(data))];
	} catch {
		return [];
	}
}

function fromChunks(chunks: readonly Chunk[], isWhole: boolean): Completion {
	const choices = chunks.flatMap(chunk => chunk.choices);
	return {
		ids: chunks.flatMap(chunk => chunk.id ?? []),
		models: chunks.flatMap(chunk => chunk.model ?? []),
		text: choices.map(choice => textOf(choice)).join(''),
		completionTokens: chunks.at(-1)?.usage?.completion_tokens,
		isWhole,
	};
}

function textOf(choice: Choice): string {
	return choice.text ?? choice.delta?.content ?? choice.message?.content ?? '';
}
