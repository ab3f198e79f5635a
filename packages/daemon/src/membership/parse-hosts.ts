import type {Host} from '@balsamtray/core';
import {z} from 'zod';

const identifierSchema = z.string().min(1).max(200);

const commonFields = {
	id: identifierSchema,
	zone: identifierSchema,
	region: identifierSchema,
	peerAddress: z
		.string()
		.regex(/^[\w.:\-\[\]]+:\d{1,5}$/v)
		// A host whose address no URL can hold can't be reached.
		.refine(address => URL.canParse(`http://${address}`)),
	state: z.enum(['live', 'leaving']),
};

const hostSchema = z.discriminatedUnion('role', [
	z.object({role: z.literal('entry'), ...commonFields}),
	z.object({
		role: z.literal('agent'),
		...commonFields,
		backend: z.discriminatedUnion('kind', [
			z.object({kind: z.literal('engine'), baseModel: identifierSchema}),
			z.object({kind: z.literal('service'), service: identifierSchema}),
		]),
	}),
]);

const hostListSchema = z.object({hosts: z.array(z.unknown())});

/** The well-formed hosts of a list, and the number of malformed ones. */
export type ParsedHosts = {
	readonly hosts: readonly Host[];
	readonly malformed: number;
};

/** Parses the platform's host list. Returns undefined if the value is not a host list. */
export function parseHosts(value: unknown): ParsedHosts | undefined {
	const list = hostListSchema.safeParse(value);
	if (!list.success) {
		return undefined;
	}

	const hosts = list.data.hosts.flatMap(line => {
		const result = hostSchema.safeParse(line);
		return result.success ? [result.data] : [];
	});
	return {hosts, malformed: list.data.hosts.length - hosts.length};
}
