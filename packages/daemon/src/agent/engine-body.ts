import {Buffer} from 'node:buffer';
import {z} from 'zod';

const bodySchema = z.looseObject({
	stream: z.boolean().nullish(),
	stream_options: z
		.looseObject({include_usage: z.boolean().nullish()})
		.nullish(),
});

/** A caller's body in the form that the engine gets. */
export type EngineBody = {
	readonly bytes: Uint8Array;
	readonly isStreamed: boolean;
	/** Whether the caller asked for the chunk that tells the usage. */
	readonly wantsUsage: boolean;
};

/**
 * Sets the served model name and the priority in a caller's body, and asks for the usage.
 * Returns undefined for a body that is no JSON object of the known form.
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
	const options = isStreamed && {
		stream_options: {...data.stream_options, include_usage: true},
	};
	const changed = {...data, ...options, model: servedName, priority};
	return {
		bytes: Buffer.from(JSON.stringify(changed)),
		isStreamed,
		wantsUsage: data.stream_options?.include_usage === true,
	};
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(body).toString()) as unknown;
	} catch {
		return undefined;
	}
}
