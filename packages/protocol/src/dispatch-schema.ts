import type {Dispatch} from '@balsamtray/core';
import {z} from 'zod';
import {
	decodeHeader,
	maxDeadlineMs,
	type DispatchCall,
} from './dispatch-wire.js';

const maxNameLength = 200;
const maxPathLength = 8192;
const maxTokenCount = 100_000_000;

const name = z.string().min(1).max(maxNameLength);
/** Identifiers that are also sent as header values. */
const token = name.regex(/^[\w.:~@\-]+$/v);
const tokens = z.number().int().nonnegative().max(maxTokenCount);

const target = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('adapter'),
		adapter: name,
		version: name,
		weights: name,
	}),
	z.object({kind: z.literal('service'), service: name, route: name}),
]);

const dispatchSchema: z.ZodType<Dispatch> = z.object({
	attemptId: token,
	requestId: token,
	entryId: name,
	configVersion: z.number().int().nonnegative(),
	customer: name,
	weight: z.number().positive().max(1_000_000),
	keyId: name.exactOptional(),
	route: name.exactOptional(),
	target,
	isRepeatable: z.boolean(),
	promptTokens: tokens,
	maxTokens: tokens,
	timeLeftMs: z.number().max(maxDeadlineMs),
	fingerprint: name,
	traceparent: z
		.string()
		.regex(/^[\da-f\-]{0,100}$/v)
		.exactOptional(),
});

const headerText = z
	.string()
	.max(maxNameLength)
	.regex(/^[\u0020-\u007E]*$/v);

const callSchema: z.ZodType<DispatchCall> = z.object({
	method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
	path: z
		.string()
		.max(maxPathLength)
		.regex(/^\/[\u0021-\u007E]*$/v),
	contentType: headerText.exactOptional(),
	accept: headerText.exactOptional(),
});

/** Decodes and checks the `balsamtray-dispatch` header. Returns undefined if it is absent or malformed. */
export function parseDispatch(header: unknown): Dispatch | undefined {
	return dispatchSchema.safeParse(decodeHeader(header)).data;
}

/** Decodes and checks the `balsamtray-call` header. Returns undefined if it is absent or malformed. */
export function parseDispatchCall(header: unknown): DispatchCall | undefined {
	return callSchema.safeParse(decodeHeader(header)).data;
}
