import type {ConfigChange, ConfigOp, ConfigSnapshot} from '@balsamtray/core';
import {z} from 'zod';

const maxNameLength = 300;
const maxSummaryLength = 2000;
const name = z.string().min(1).max(maxNameLength);
const names = z.array(name);
const version = z.number().int().nonnegative();
const amount = z.number().nonnegative();
const hex = z.string().regex(/^[0-9a-f]*$/v);

const customer = z.strictObject({
	name,
	tokensPerSecond: amount,
	burstTokens: amount,
	weight: amount,
});

const adapter = z.strictObject({
	name,
	baseModel: name,
	customers: names,
	versions: z.array(z.strictObject({name, weights: name})),
	currentVersion: name,
});

const route = z.strictObject({
	name,
	target: z.discriminatedUnion('kind', [
		z.strictObject({
			kind: z.literal('adapter'),
			adapter: name,
			version: z.exactOptional(name),
		}),
		z.strictObject({kind: z.literal('service'), service: name}),
	]),
	openCustomer: z.exactOptional(name),
	customers: names,
	isRepeatable: z.boolean(),
	tokensPerCall: amount,
});

const key = z.strictObject({
	id: name,
	customer: name,
	salt: hex,
	digest: hex,
	issuedAt: z.number(),
});

/** An operation of a change, in its stored and sent form. */
export const configOpSchema: z.ZodType<ConfigOp> = z.discriminatedUnion('op', [
	z.strictObject({op: z.literal('putCustomer'), customer}),
	z.strictObject({op: z.literal('deleteCustomer'), name}),
	z.strictObject({op: z.literal('putAdapter'), adapter}),
	z.strictObject({op: z.literal('deleteAdapter'), name}),
	z.strictObject({op: z.literal('putRoute'), route}),
	z.strictObject({op: z.literal('deleteRoute'), name}),
	z.strictObject({op: z.literal('setDocumentDigest'), digest: hex}),
	z.strictObject({op: z.literal('issueKey'), key}),
	z.strictObject({op: z.literal('withdrawKey'), keyId: name}),
	z.strictObject({op: z.literal('takeZoneOut'), zone: name}),
	z.strictObject({op: z.literal('bringZoneIn'), zone: name}),
	z.strictObject({op: z.literal('drainServer'), server: name}),
	z.strictObject({op: z.literal('undrainServer'), server: name}),
]);

const changeFields = {
	version: version.min(1),
	changeId: name,
	author: name,
	writtenAt: z.number(),
	summary: z.string().max(maxSummaryLength),
};

/** A change, in its stored and sent form. */
export const configChangeSchema: z.ZodType<ConfigChange> = z.strictObject({
	...changeFields,
	ops: z.array(configOpSchema),
});

/**
 * The row of a change in the table service. It holds the operations, or the digest of the object that holds them
 * if the change is large.
 */
export const changeRowSchema = z.union([
	z.strictObject({...changeFields, ops: z.array(configOpSchema)}),
	z.strictObject({...changeFields, opsDigest: hex}),
]);

/** The object with the operations of a large change. */
export const opsObjectSchema = z.array(configOpSchema);

/** The row that points to the latest snapshot. */
export const snapshotPointerSchema = z.strictObject({
	version,
	object: name,
	digest: hex,
});

/** A snapshot, in its stored and sent form. */
export const configSnapshotSchema: z.ZodType<ConfigSnapshot> = z.strictObject({
	version,
	documentDigest: hex,
	customers: z.array(customer),
	adapters: z.array(adapter),
	routes: z.array(route),
	keys: z.array(key),
	withdrawnKeyIds: names,
	zonesOut: names,
	drainedServers: names,
});

/** A peer's response to `changesAfter`. */
export const configResponseSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('changes'),
		changes: z.array(configChangeSchema),
	}),
	z.strictObject({
		kind: z.literal('snapshot'),
		snapshot: configSnapshotSchema,
	}),
]);

/** The row of a change in the table service. */
export type ChangeRow = z.infer<typeof changeRowSchema>;

/** The row that points to the latest snapshot. */
export type SnapshotPointer = z.infer<typeof snapshotPointerSchema>;
