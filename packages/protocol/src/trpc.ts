import {initTRPC} from '@trpc/server';
import type {PeerContext} from './peer/types.js';

const builder = initTRPC.context<PeerContext>().create();

/** Creates a router of calls between entries and agents. */
export const createPeerRouter = builder.router;

/** Base of all procedures that entries and agents may call. */
export const peerProcedure = builder.procedure;
