import {TRPCError} from '@trpc/server';
import {z} from 'zod';
import {createPeerRouter, peerProcedure} from '../trpc.js';
import type {RatePeerContext} from './types.js';

const identifier = z.string().min(1).max(300);
const maxTransferTokens = 2 ** 50;
const tokens = z.number().int().nonnegative().max(maxTransferTokens);
const maxSettlements = 1000;

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

/** Calls between entries about customers' tokens. */
export const rateRouter = createPeerRouter({
	/** Requests part of a customer's tokens. The holder deducts them before it sends the response. */
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
		.mutation(async ({ctx, input}) =>
			requireRate(ctx.rate).requestTransfer(input),
		),

	/** Returns the holders of all shards to an entry that starts while the store is down. */
	shardMap: peerProcedure.query(({ctx}) => requireRate(ctx.rate).shardMap()),

	/** Reports which transferred tokens were spent and returns the unspent ones. */
	settleTransfers: peerProcedure
		.input(z.object({settlements: z.array(settlement).max(maxSettlements)}))
		.mutation(({ctx, input}) => {
			requireRate(ctx.rate).settleTransfers(input.settlements);
		}),
});

function requireRate(rate: RatePeerContext | undefined): RatePeerContext {
	if (rate === undefined) {
		throw new TRPCError({
			code: 'NOT_FOUND',
			message: 'This process is no entry.',
		});
	}

	return rate;
}
