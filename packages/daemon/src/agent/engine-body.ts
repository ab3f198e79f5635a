import {Buffer} from 'node:buffer';
import {z} from 'zod';

const bodySchema = z.looseObject({
	stream: z.boolean().nullish(),
	stream_options: z
		.looseObject({include_usage: z.boolean().nullish()})
		.nullish(),
});

/** A caller's request body, rewritten for the engine. */
export type EngineBody = {
	readonly bytes: Uint8Array;
	readonly isStreamed: boolean;
	/** Whether the caller requested the usage chunk of a streamed response. */
	readonly isUsageRequested: boolean;
};

/**
 * Sets the served model name and the priority in a caller's body. For streamed responses, it also
 * requests the usage chunk. Returns undefined if the body is malformed.
 */
export function createEngineBody(
	body: Uint8Array,
	servedName: string,
	priority: number,
): EngineBody | undefined {
	const {data} = bodySchema.safeParse(parseJson(body));
	if (!data) {
		return undefined;
	}

	const isStreamed = data.stream === true;
	const streamFields = isStreamed && {
		stream_options: {...data.stream_options, include_usage: true},
	};
	const engineFields = {...data, ...streamFields, model: servedName, priority};
	return {
		bytes: Buffer.from(JSON.stringify(engineFields)),
		isStreamed,
		isUsageRequested: data.stream_options?.include_usage === true,
	};
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(body).toString()) as unknown;
	} catch {
		return undefined;
	}
}
