import {TRPCError} from '@trpc/server';
import {z} from 'zod';
import {peerProcedure, peerRouterOf} from '../trpc.js';

const identifier = z.string().min(1).max(200);

/** Most fingerprints in one report: what one backend server runs at once, and more. */
const mostFingerprints = 10_000;

/** Calls about requests that ran on a backend server as it died. */
export const quarantineRouter = peerRouterOf({
	reportSuspects: peerProcedure
		.input(
			z.object({
				peer: identifier,
				fingerprints: z.array(z.string().max(200)).max(mostFingerprints),
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
