/** Servers and clients between the system's processes, over plain TCP or TLS. */
import type {Server as TlsServer} from 'node:tls';
import fastify, {type FastifyInstance} from 'fastify';
import {Agent, type Dispatcher} from 'undici';
import type {Disposable} from '../common/types.js';
import type {SocketAddress} from '../settings/schemas.js';
import type {TlsCredentials, TlsMaterial} from './tls-material.js';

/** Who may connect to a server. */
export type ServerKind =
	/** Callers and operators, who show a key. */
	| 'public'
	/** Processes of the system, which show a certificate where TLS is on. */
	| 'peer';

/** Limits of an HTTP server. */
export type ServerLimits = {
	readonly bodyLimitBytes: number;
	/** Time in which the headers of a request must arrive, in milliseconds. */
	readonly headerTimeoutMs: number;
	/** Time after which a connection without requests is closed, in milliseconds. */
	readonly idleTimeoutMs: number;
};

/** Connections of one peer that are open at most. */
const connectionsPerPeer = 256;

/** Time in which a connection to a peer must stand, in milliseconds. */
const connectTimeoutMs = 1000;

/** Makes servers and clients, all plain or all with TLS. */
export class Transport implements Disposable {
	static create(tls: TlsMaterial | undefined): Transport {
		return new Transport(tls);
	}

	private _dispatcher: Agent;
	private readonly _subscriptions: Disposable[] = [];

	private constructor(private readonly _tls: TlsMaterial | undefined) {
		this._dispatcher = peerDispatcher(_tls?.credentials());
		if (_tls !== undefined) {
			this._subscriptions.push(
				_tls.onChanged(credentials => {
					// Requests that run on the old dispatcher finish there.
					void this._dispatcher.close();
					this._dispatcher = peerDispatcher(credentials);
				}),
			);
		}
	}

	/** Address of a peer for HTTP clients. */
	peerUrl(address: string): string {
		return `${this._tls === undefined ? 'http' : 'https'}://${address}`;
	}

	/** Dispatcher of undici for calls to peers. Take it anew for each call: it changes with the certificates. */
	peerDispatcher(): Dispatcher {
		return this._dispatcher;
	}

	/** Creates an HTTP server that does not listen yet. */
	createServer(kind: ServerKind, limits: ServerLimits): FastifyInstance {
		const options = {
			bodyLimit: limits.bodyLimitBytes,
			keepAliveTimeout: limits.idleTimeoutMs,
			connectionTimeout: 0,
			forceCloseConnections: 'idle' as const,
			http: {headersTimeout: limits.headerTimeoutMs},
		};
		if (this._tls === undefined) {
			return fastify(options);
		}

		const app = fastify({
			...options,
			https: {
				...serverCredentials(this._tls.credentials(), kind),
				headersTimeout: limits.headerTimeoutMs,
			},
		});
		this._subscriptions.push(
			this._tls.onChanged(credentials => {
				const {server} = app;
				server.setSecureContext(credentials);
			}),
		);
		// The two kinds of servers differ in nothing that their routes use.
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

function peerDispatcher(credentials: TlsCredentials | undefined): Agent {
	return new Agent({
		connections: connectionsPerPeer,
		connect: {
			timeout: connectTimeoutMs,
			...credentials,
		},
		// The deadlines of requests are kept by the tasks that send them.
		headersTimeout: 0,
		bodyTimeout: 0,
	});
}

/** Listens and returns the address. */
export async function listen(
	app: FastifyInstance,
	{address, port}: SocketAddress,
): Promise<string> {
	return app.listen({host: address, port});
}
