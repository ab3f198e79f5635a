import {z} from 'zod';

/** Outcome of one call: the HTTP response, or the error that replaced it. */
export type CallResult = {
	/** HTTP status; undefined if no response arrived. */
	readonly status?: number;
	readonly headers: Readonly<
		Record<string, string | readonly string[] | undefined>
	>;
	readonly text: string;
	/** Whether the whole body arrived. False if the connection failed first. */
	readonly isEnded: boolean;
	/** Connection error, if one occurred. */
	readonly error?: string;
	/** Time of sending, in milliseconds since the epoch. */
	readonly sentAt: number;
	/** Time of the end of the body or of the error, in milliseconds since the epoch. */
	readonly endedAt: number;
};

/** Error body of a refused call. */
export type RefusalBody = {
	readonly code: string;
	readonly message: string;
	readonly notRun: boolean;
	readonly requestId: string | undefined;
};

/** Content of a completion response, merged from its chunks if it was streamed. */
export type Completion = {
	readonly ids: readonly string[];
	readonly models: readonly string[];
	readonly text: string;
	readonly completionTokens: number | undefined;
	/** Whether the whole body arrived and, for a stream, ended with `[DONE]`. */
	readonly isComplete: boolean;
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

/** Parses the error body of a refused call. Throws if the body has another form. */
export function parseRefusal(result: CallResult): RefusalBody {
	const {error} = refusalSchema.parse(JSON.parse(result.text));
	return {
		code: error.code,
		message: error.message,
		notRun: error.not_run,
		requestId: error.request_id,
	};
}

/** Parses a completion from a JSON response or from the server-sent events of a stream. */
export function parseCompletion(result: CallResult): Completion {
	return result.text.startsWith('data:')
		? parseEventStream(result)
		: mergeChunks([chunkSchema.parse(JSON.parse(result.text))], result.isEnded);
}

function parseEventStream(result: CallResult): Completion {
	const events = result.text
		.split('\n\n')
		.filter(event => event.startsWith('data: '))
		.map(event => event.slice('data: '.length));
	const isComplete = result.isEnded && events.at(-1) === doneData;
	const chunks = events
		.filter(data => data !== doneData)
		.flatMap(data => parseChunk(data));
	return mergeChunks(chunks, isComplete);
}

/** Returns no chunk for an invalid event: the last event of a truncated stream may be truncated itself. */
function parseChunk(data: string): readonly Chunk[] {
	try {
		return [chunkSchema.parse(JSON.parse(data))];
	} catch {
		return [];
	}
}

function mergeChunks(
	chunks: readonly Chunk[],
	isComplete: boolean,
): Completion {
	const choices = chunks.flatMap(chunk => chunk.choices);
	return {
		ids: chunks.flatMap(chunk => chunk.id ?? []),
		models: chunks.flatMap(chunk => chunk.model ?? []),
		text: choices.map(choice => getChoiceText(choice)).join(''),
		completionTokens: chunks.at(-1)?.usage?.completion_tokens,
		isComplete,
	};
}

function getChoiceText(choice: Choice): string {
	return choice.text ?? choice.delta?.content ?? choice.message?.content ?? '';
}
