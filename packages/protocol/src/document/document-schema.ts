import {z} from 'zod';
import {
	addressPattern,
	keyTextPattern,
	maxTokenAmount,
	maxWeight,
	namePattern,
	weightsPattern,
} from './constants.js';

/** Returns whether a name contains neither an address nor a customer's key. */
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

const tokens = z.number().positive().max(maxTokenAmount);

/** A customer in a document, keyed by its name. */
export const customerEntrySchema = z.strictObject({
	tokensPerSecond: tokens,
	burstTokens: tokens,
	weight: z.number().positive().max(maxWeight).default(1),
});

/** An adapter in a document, keyed by its name. `versions` maps each version to the name of its weights. */
export const adapterEntrySchema = z.strictObject({
	baseModel: nameSchema,
	customers: z.array(nameSchema).default([]),
	versions: z.record(nameSchema, weightsSchema),
	currentVersion: nameSchema,
});

/** A route in a document, keyed by its name. It has either `adapter` or `service`; `checkRoute` checks that. */
export const routeEntrySchema = z.strictObject({
	adapter: nameSchema.optional(),
	version: nameSchema.optional(),
	service: nameSchema.optional(),
	openCustomer: nameSchema.optional(),
	customers: z.array(nameSchema).default([]),
	isRepeatable: z.boolean().optional(),
	tokensPerCall: z.number().nonnegative().max(maxTokenAmount).optional(),
});

/** A customer's entry in a document. */
export type CustomerEntry = z.infer<typeof customerEntrySchema>;

/** An adapter's entry in a document. */
export type AdapterEntry = z.infer<typeof adapterEntrySchema>;

/** A route's entry in a document. */
export type RouteEntry = z.infer<typeof routeEntrySchema>;
