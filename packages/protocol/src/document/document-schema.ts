import {z} from 'zod';
import {
	addressPattern,
	keyTextPattern,
	mostTokens,
	mostWeight,
	namePattern,
	weightsPattern,
} from './constants.js';

function isPlainName(text: string): boolean {
	return !addressPattern.test(text) && !keyTextPattern.test(text);
}

const plainNameMessage = 'must hold no address and no secret';

/** A name in a document. */
export const nameSchema = z
	.string()
	.regex(
		namePattern,
		'must begin with a letter or digit and hold only letters, digits, ".", "_" and "-"',
	)
	.refine(isPlainName, plainNameMessage);

const weightsSchema = z
	.string()
	.regex(weightsPattern, 'must be the name of weights in the weight store')
	.refine(isPlainName, plainNameMessage);

const tokens = z.number().positive().max(mostTokens);

/** A customer of a document, under its name. */
export const customerEntrySchema = z.strictObject({
	tokensPerSecond: tokens,
	burstTokens: tokens,
	weight: z.number().positive().max(mostWeight).default(1),
});

/** An adapter of a document, under its name. `versions` gives the name of the weights of each version. */
export const adapterEntrySchema = z.strictObject({
	baseModel: nameSchema,
	customers: z.array(nameSchema).default([]),
	versions: z.record(nameSchema, weightsSchema),
	currentVersion: nameSchema,
});

/** A route of a document, under its name. It has either `adapter` or `service`. */
export const routeEntrySchema = z.strictObject({
	adapter: nameSchema.optional(),
	version: nameSchema.optional(),
	service: nameSchema.optional(),
	openCustomer: nameSchema.optional(),
	customers: z.array(nameSchema).default([]),
	isRepeatable: z.boolean().optional(),
	tokensPerCall: z.number().nonnegative().max(mostTokens).optional(),
});

/** A customer as a document writes it. */
export type CustomerEntry = z.infer<typeof customerEntrySchema>;

/** An adapter as a document writes it. */
export type AdapterEntry = z.infer<typeof adapterEntrySchema>;

/** A route as a document writes it. */
export type RouteEntry = z.infer<typeof routeEntrySchema>;
