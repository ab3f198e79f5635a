import {initTRPC} from '@trpc/server';
import type {PeerContext} from './peer/types.js';

const builder = initTRPC.context<PeerContext>().create();

/** Builds the routers between the system's own processes. */
export const peerRouterOf = builder.router;

/** A procedure that any process of the system may call. */
export const peerProcedure = builder.procedure;
