import type {Server as TlsServer} from 'node:tls';
import fastify, {type FastifyInstance} from 'fastify';
import {Agent, type Dispatcher} from 'undici';
import type {Disposable} from '../common/types.js';
import type {SocketAddress} from '../settings/schemas.js';
import type {TlsCredentials, TlsMaterial} from './tls-material.js';

/** Kind of a server, by its clients. */
export type ServerKind =
	/** Callers and operators, who authenticate with a key. */
	| 'public'
	/** Processes of the system, which authenticate with a client certificate if TLS is on. */
	| 'peer';

/** Limits of an HTTP server. */
export type ServerLimits = {
	readonly bodyLimitBytes: number;
	/** Time in which the headers of a request must arrive, in milliseconds. */
	readonly headerTimeoutMs: number;
	/** Time after which an idle connection is closed, in milliseconds. */
	readonly idleTimeoutMs: number;
};

/** Max open connections to one peer. */
const maxConnectionsPerPeer = 256;

/** Timeout for connecting to a peer, in milliseconds. */
const connectTimeoutMs = 1000;

/** Creates the servers of a process and its clients for peers, all over plain TCP or all over TLS. */
export class Transport implements Disposable {
	static create(tls: TlsMaterial | undefined): Transport {
		return new Transport(tls);
	}

	private _dispatcher: Agent;
	private readonly _subscriptions: Disposable[] = [];

	private constructor(private readonly _tls: TlsMaterial | undefined) {
		this._dispatcher = createPeerDispatcher(_tls?.credentials());
		if (_tls !== undefined) {
			this._subscriptions.push(
				_tls.onChanged(credentials => {
					// Requests in flight on the old dispatcher still finish.
					void this._dispatcher.close();
					this._dispatcher = createPeerDispatcher(credentials);
				}),
			);
		}
	}

	/** Builds the base URL for a peer's address. */
	peerUrl(address: string): string {
		return `${this._tls === undefined ? 'http' : 'https'}://${address}`;
	}

	/** Returns the undici dispatcher for calls to peers. Callers must get it for each call, because it changes with the certificates. */
	peerDispatcher(): Dispatcher {
		return this._dispatcher;
	}

	/** Creates an HTTP or HTTPS server that does not listen yet. */
	createServer(kind: ServerKind, limits: ServerLimits): FastifyInstance {
		const http = {
			headersTimeout: limits.headerTimeoutMs,
			// `ServerGuard` refuses requests without a host, as what their callers send has to be counted.
			requireHostHeader: kind === 'peer',
		};
		const options = {
			bodyLimit: limits.bodyLimitBytes,
			keepAliveTimeout: limits.idleTimeoutMs,
			connectionTimeout: 0,
			forceCloseConnections: 'idle' as const,
			http,
		};
		if (this._tls === undefined) {
			return fastify(options);
		}

		const app = fastify({
			...options,
			https: {
				...serverCredentials(this._tls.credentials(), kind),
				...http,
			},
		});
		this._subscriptions.push(
			this._tls.onChanged(credentials => {
				const {server} = app;
				server.setSecureContext(credentials);
			}),
		);
		// The routes use only the API that HTTP and HTTPS servers share.
		return app;
	}

	dispose(): void {
		for (const subscription of this._subscriptions) {
			subscription.dispose();
		}

		void this._dispatcher.destroy();
	}
}

function serverCredentials(credentials: TlsCredentials, kind: ServerKind) {
	return kind === 'peer'
		? {...credentials, requestCert: true, rejectUnauthorized: true}
		: {cert: credentials.cert, key: credentials.key};
}

function createPeerDispatcher(credentials: TlsCredentials | undefined): Agent {
	return new Agent({
		connections: maxConnectionsPerPeer,
		connect: {
			timeout: connectTimeoutMs,
			...credentials,
		},
		// No timeouts here: the tasks that send requests set their own.
		headersTimeout: 0,
		bodyTimeout: 0,
	});
}

/** Starts listening and returns the server's URL. */
export async function listen(
	app: FastifyInstance,
	{address, port}: SocketAddress,
): Promise<string> {
	return app.listen({host: address, port});
}
