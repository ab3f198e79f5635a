import {TRPCError} from '@trpc/server';
import {z} from 'zod';
import {createPeerRouter, peerProcedure} from '../trpc.js';

const servedName = z.string().min(1).max(500);

/** Calls that agents serve. */
export const agentRouter = createPeerRouter({
	/** Returns the agent's load and the state of one adapter version. */
	probe: peerProcedure
		.input(z.object({servedName: servedName.exactOptional()}))
		.query(({ctx, input}) => {
			if (ctx.agent === undefined) {
				throw new TRPCError({
					code: 'NOT_FOUND',
					message: 'This process is no agent.',
				});
			}

			return ctx.agent.probe(input);
		}),
});
