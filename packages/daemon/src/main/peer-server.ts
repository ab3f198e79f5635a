import {
	peerRouter,
	type PeerContext,
	type PeerRouter,
} from '@balsamtray/protocol';
import {
	fastifyTRPCPlugin,
	type FastifyTRPCPluginOptions,
} from '@trpc/server/adapters/fastify';
import type {FastifyInstance} from 'fastify';
import type {Transport} from '../transport/transport.js';

const mebibyte = 1024 * 1024;

/** Limits of the peer port, which other processes of the system use. */
const peerLimits = {
	bodyLimitBytes: 8 * mebibyte,
	headerTimeoutMs: 10_000,
	idleTimeoutMs: 60_000,
};

/** Options of `createPeerServer`. */
export type PeerServerOptions = {
	readonly transport: Transport;
	/** Handlers of the peers' calls. */
	readonly context: PeerContext;
	readonly isReady: () => boolean;
};

/** Creates the server of the peer port with the peers' calls and the health checks. It does not listen yet. */
export async function createPeerServer({
	transport,
	context,
	isReady,
}: PeerServerOptions): Promise<FastifyInstance> {
	const app = transport.createServer('peer', peerLimits);
	const plugin: FastifyTRPCPluginOptions<PeerRouter> = {
		prefix: '/trpc',
		trpcOptions: {router: peerRouter, createContext: () => context},
	};
	await app.register(async scope => {
		await scope.register(fastifyTRPCPlugin, plugin);
	});
	app.get('/livez', async () => ({status: 'ok'}));
	app.get('/readyz', async (_req, res) =>
		isReady() ? {status: 'ready'} : res.code(503).send({status: 'not ready'}),
	);
	return app;
}
