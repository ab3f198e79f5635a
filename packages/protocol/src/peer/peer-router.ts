import {z} from 'zod';
import {peerProcedure, peerRouterOf} from '../trpc.js';
import {agentRouter} from './agent-router.js';
import {quarantineRouter} from './quarantine-router.js';
import {rateRouter} from './rate-router.js';

const identifier = z.string().min(1).max(200);
const version = z.number().int().nonnegative();

/** Calls between the system's own processes. Each input carries the sender's configuration version where it has one. */
export const peerRouter = peerRouterOf({
	agent: agentRouter,

	quarantine: quarantineRouter,

	rate: rateRouter,

	identity: peerProcedure.query(({ctx}) => ctx.identity()),

	/** Tells the peer the caller's version and learns the peer's. */
	exchangeVersion: peerProcedure
		.input(z.object({peer: identifier, version}))
		.mutation(({ctx, input}) => {
			ctx.config.seeVersion(input.peer, input.version);
			return {version: ctx.identity().configVersion};
		}),

	changesAfter: peerProcedure
		.input(z.object({version}))
		.query(({ctx, input}) => ctx.config.answerAfter(input.version)),
});

/** Type of the calls between processes, for typed clients. */
export type PeerRouter = typeof peerRouter;
