import {TRPCError} from '@trpc/server';
import {z} from 'zod';
import {peerProcedure, peerRouterOf} from '../trpc.js';
import type {RatePeerContext} from './types.js';

const identifier = z.string().min(1).max(300);
const mostTokens = 2 ** 50;
const tokens = z.number().int().nonnegative().max(mostTokens);
const mostSettlements = 1000;

const settlement = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('spent'),
		transferId: identifier,
		customer: identifier,
	}),
	z.object({
		kind: z.literal('unspent'),
		transferId: identifier,
		customer: identifier,
		tokens,
	}),
]);

/** Calls between entries over customers' tokens. */
export const rateRouter = peerRouterOf({
	/** Asks for part of a customer's tokens. They are deducted before the answer is sent. */
	requestTransfer: peerProcedure
		.input(
			z.object({
				peer: identifier,
				transferId: identifier,
				customer: identifier,
				tokens,
				fillShare: z.number().min(0).max(1).exactOptional(),
			}),
		)
		.mutation(async ({ctx, input}) => rateOf(ctx.rate).requestTransfer(input)),

	/** Tells who holds what, to an entry that starts while the store is down. */
	shardMap: peerProcedure.query(({ctx}) => rateOf(ctx.rate).shardMap()),

	/** Tells what became of transferred tokens. */
	settleTransfers: peerProcedure
		.input(z.object({settlements: z.array(settlement).max(mostSettlements)}))
		.mutation(({ctx, input}) => {
			rateOf(ctx.rate).settleTransfers(input.settlements);
		}),
});

function rateOf(rate: RatePeerContext | undefined): RatePeerContext {
	if (rate === undefined) {
		throw new TRPCError({
			code: 'NOT_FOUND',
			message: 'This process is no entry.',
		});
	}

	return rate;
}
