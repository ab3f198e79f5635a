import {refusalCodes} from '@balsamtray/core';
import {z} from 'zod';
import {configChangeSchema} from './document/change-schema.js';
import type {DispatchEnd, DispatchReply} from './dispatch-wire.js';

const identifier = z.string().min(1).max(400);
const count = z.number().nonnegative();

const refusal = z.object({
	code: z.enum(refusalCodes),
	message: z.string().max(2000),
	notRun: z.boolean(),
	step: z.enum([
		'accept',
		'authorize',
		'rate',
		'claim',
		'route',
		'dispatch',
		'admit',
		'queue',
		'load',
		'backend',
		'answer',
		'store',
	]),
	peer: z.string().max(400),
	retryAfterMs: count.exactOptional(),
});

/** Status of a backend server, as reported by its agent. */
export const serverStatusSchema = z.object({
	server: identifier,
	zone: identifier,
	incarnation: identifier,
	configVersion: z.number().int().nonnegative(),
	backend: z.discriminatedUnion('kind', [
		z.object({kind: z.literal('engine'), baseModel: identifier}),
		z.object({kind: z.literal('service'), service: identifier}),
	]),
	isAcceptingWork: z.boolean(),
	running: count,
	queued: count,
	window: count,
	expectedWaitMs: count,
	lightWaitMs: count.exactOptional(),
	customerWaitsMs: z.record(z.string().max(200), count).exactOptional(),
	adapterState: z.enum(['resident', 'loading', 'absent']),
});

const reply = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('answer'),
		attemptId: identifier,
		status: z.number().int().min(200).max(599),
		contentType: z.string().max(400),
		server: serverStatusSchema,
	}),
	z.object({
		kind: z.literal('refused'),
		attemptId: identifier,
		refusal,
		server: serverStatusSchema,
		changes: z.array(configChangeSchema),
	}),
]);

const end = z.object({
	attemptId: identifier,
	usage: z.object({promptTokens: count, completionTokens: count}),
});

/** Checks the decoded `balsamtray-reply` header. Returns undefined if it is malformed. */
export function parseDispatchReply(value: unknown): DispatchReply | undefined {
	const result = reply.safeParse(value);
	return result.success ? result.data : undefined;
}

/** Checks the decoded `balsamtray-end` trailer. Returns undefined if it is malformed. */
export function parseDispatchEnd(value: unknown): DispatchEnd | undefined {
	const result = end.safeParse(value);
	return result.success ? result.data : undefined;
}
