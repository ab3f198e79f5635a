import {z} from 'zod';
import {createPeerRouter, peerProcedure} from '../trpc.js';
import {agentRouter} from './agent-router.js';
import {quarantineRouter} from './quarantine-router.js';
import {rateRouter} from './rate-router.js';

const identifier = z.string().min(1).max(200);
const version = z.number().int().nonnegative();

/** Calls between entries and agents. A `version` in an input is the configuration version of the sender. */
export const peerRouter = createPeerRouter({
	agent: agentRouter,

	quarantine: quarantineRouter,

	rate: rateRouter,

	identity: peerProcedure.query(({ctx}) => ctx.identity()),

	/** Sends the caller's configuration version and returns that of the serving process. */
	exchangeVersion: peerProcedure
		.input(z.object({peer: identifier, version}))
		.mutation(({ctx, input}) => {
			ctx.config.notePeerVersion(input.peer, input.version);
			return {version: ctx.identity().configVersion};
		}),

	/** Returns the configuration changes after a version, or a snapshot if the changes are no longer available. */
	changesAfter: peerProcedure
		.input(z.object({version}))
		.query(({ctx, input}) => ctx.config.answerAfter(input.version)),
});

/** Type of the peer calls, for typed clients. */
export type PeerRouter = typeof peerRouter;
