import {TRPCError} from '@trpc/server';
import {z} from 'zod';
import {createPeerRouter, peerProcedure} from '../trpc.js';

const identifier = z.string().min(1).max(200);

/** Maximum number of fingerprints in one report. It is above the number of requests that a backend server runs at once. */
const maxFingerprints = 10_000;

/** Calls about suspects: requests that were running when a backend server crashed. */
export const quarantineRouter = createPeerRouter({
	reportSuspects: peerProcedure
		.input(
			z.object({
				peer: identifier,
				fingerprints: z.array(z.string().max(200)).max(maxFingerprints),
				bootId: identifier,
			}),
		)
		.mutation(({ctx, input}) => {
			if (ctx.quarantine === undefined) {
				throw new TRPCError({
					code: 'NOT_FOUND',
					message: 'This process is no entry.',
				});
			}

			ctx.quarantine.reportSuspects(
				input.peer,
				input.fingerprints,
				input.bootId,
			);
		}),
});
