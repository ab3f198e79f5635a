import {initTRPC, TRPCError} from '@trpc/server';
import {z} from 'zod';
import {maxDocumentLength} from '../document/constants.js';
import {nameSchema} from '../document/document-schema.js';
import type {OperatorContext} from './types.js';

const maxHistoryLength = 1000;
const maxChangeIdLength = 100;

const builder = initTRPC.context<OperatorContext>().create({
	// Keeps stack traces out of error responses.
	isDev: false,
});

const readProcedure = builder.procedure.use(async ({ctx, next}) => {
	const {operator} = ctx;
	if (!operator) {
		throw new TRPCError({
			code: 'UNAUTHORIZED',
			message: "the operator's key is missing or wrong",
		});
	}

	return next({ctx: {...ctx, operator}});
});

const changeProcedure = readProcedure.use(async ({ctx, next}) => {
	if (ctx.operator.role !== 'change') {
		throw new TRPCError({
			code: 'FORBIDDEN',
			message: "the operator's key may read only",
		});
	}

	return next();
});

const text = z.string().max(maxDocumentLength);
const changeId = z.string().min(1).max(maxChangeIdLength);
const baseVersion = z.number().int().nonnegative();
const digest = z.string().regex(/^[0-9a-f]{64}$/v);
const zoneInput = z.strictObject({changeId, zone: nameSchema});
const serverInput = z.strictObject({changeId, server: nameSchema});

/** Calls that operators make. */
export const operatorRouter = builder.router({
	plan: readProcedure
		.input(z.strictObject({text}))
		.mutation(async ({ctx, input}) => ctx.service.plan(input.text)),

	applyDocument: changeProcedure
		.input(z.strictObject({text, changeId, baseVersion}))
		.mutation(async ({ctx, input}) =>
			ctx.service.apply({author: ctx.operator.name, ...input}),
		),

	/** Applies a document only if its digest equals that of the document in force in the trial environment. */
	promote: changeProcedure
		.input(z.strictObject({text, changeId, baseVersion, digest}))
		.mutation(async ({ctx, input}) =>
			ctx.service.apply({author: ctx.operator.name, ...input}),
		),

	history: readProcedure
		.input(
			z.strictObject({limit: z.number().int().min(1).max(maxHistoryLength)}),
		)
		.query(async ({ctx, input}) => ctx.service.history(input.limit)),

	status: readProcedure.query(({ctx}) => ctx.service.status()),

	issueKey: changeProcedure
		.input(z.strictObject({changeId, customer: nameSchema}))
		.mutation(async ({ctx, input}) =>
			ctx.service.issueKey(ctx.operator.name, input.changeId, input.customer),
		),

	withdrawKey: changeProcedure
		.input(z.strictObject({changeId, keyId: nameSchema}))
		.mutation(async ({ctx, input}) =>
			ctx.service.withdrawKey(ctx.operator.name, input.changeId, input.keyId),
		),

	zoneOut: changeProcedure
		.input(zoneInput)
		.mutation(async ({ctx, input}) =>
			ctx.service.setZoneOut(
				ctx.operator.name,
				input.changeId,
				input.zone,
				true,
			),
		),

	zoneIn: changeProcedure
		.input(zoneInput)
		.mutation(async ({ctx, input}) =>
			ctx.service.setZoneOut(
				ctx.operator.name,
				input.changeId,
				input.zone,
				false,
			),
		),

	drainServer: changeProcedure
		.input(serverInput)
		.mutation(async ({ctx, input}) =>
			ctx.service.setServerDrained(
				ctx.operator.name,
				input.changeId,
				input.server,
				true,
			),
		),

	undrainServer: changeProcedure
		.input(serverInput)
		.mutation(async ({ctx, input}) =>
			ctx.service.setServerDrained(
				ctx.operator.name,
				input.changeId,
				input.server,
				false,
			),
		),
});

/** Type of the operator calls, for typed clients. */
export type OperatorRouter = typeof operatorRouter;
