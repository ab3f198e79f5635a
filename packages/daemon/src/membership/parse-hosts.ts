import type {Host} from '@balsamtray/core';
import {z} from 'zod';

const identifier = z.string().min(1).max(200);

const commonFields = {
	id: identifier,
	zone: identifier,
	region: identifier,
	peerAddress: z.string().regex(/^[\w.:\-\[\]]+:\d{1,5}$/v),
	state: z.enum(['live', 'leaving']),
};

const host = z.discriminatedUnion('role', [
	z.object({role: z.literal('entry'), ...commonFields}),
	z.object({
		role: z.literal('agent'),
		...commonFields,
		backend: z.discriminatedUnion('kind', [
			z.object({kind: z.literal('engine'), baseModel: identifier}),
			z.object({kind: z.literal('service'), service: identifier}),
		]),
	}),
]);

const hostList = z.object({hosts: z.array(z.unknown())});

/** The lines of a host list that are well-formed, and how many are not. */
export type ParsedHosts = {
	readonly hosts: readonly Host[];
	readonly malformed: number;
};

/** Reads the platform's host list. Returns undefined where it is no list at all. */
export function parseHosts(value: unknown): ParsedHosts | undefined {
	const list = hostList.safeParse(value);
	if (!list.success) {
		return undefined;
	}

	const hosts = list.data.hosts.flatMap(line => {
		const result = host.safeParse(line);
		return result.success ? [result.data] : [];
	});
	return {hosts, malformed: list.data.hosts.length - hosts.length};
}
