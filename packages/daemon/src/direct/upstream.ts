import type {IncomingHttpHeaders} from 'node:http';
import type {Socket} from 'node:net';
import type {Dispatcher} from 'undici';
import buildConnector from 'undici/lib/core/connect.js';
import Pool from 'undici/lib/dispatcher/pool.js';
import {ConnectionGuard} from '../common/connection-guard.js';
import {EndlessResponseError} from '../common/endless-response-error.js';
import {
	connectTimeoutMs,
	discardTimeoutMs,
	keepAliveMs,
	maxDiscardedBytes,
} from './constants.js';

/** A request to a server. */
export type UpstreamRequest = {
	readonly server: string;
	/** `IP:PORT`. */
	readonly address: string;
	readonly maxConnections: number;
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Uint8Array;
};

/** What marks the end of a response body: its length, its last chunk, or only the end of its connection. */
export type ResponseFraming = 'length' | 'chunks' | 'connection';

/** Receives the events of a request to a server, in this order. */
export type UpstreamSink = {
	/**
	 * Called when a connection is assigned to the request, just before it is sent. From then on the server may run it.
	 * Returns false to cancel the request; it is not sent then, and no event follows.
	 */
	readonly onSending: () => boolean;
	readonly onHeaders: (
		status: number,
		headers: IncomingHttpHeaders,
		framing: ResponseFraming,
		isFirstOnConnection: boolean,
	) => void;
	/**
	 * Returns false to pause the response until `resume` is called. Events of data that is already read still follow.
	 */
	readonly onData: (chunk: Uint8Array) => boolean;
	readonly onEnd: () => void;
	readonly onError: (err: Error) => void;
};

/** An in-flight request. */
export type UpstreamCall = {
	/** Aborts the request, even if it still waits for a connection. No event follows. */
	readonly abort: () => void;
	/** Resumes a paused response. */
	readonly resume: () => void;
	/** Drops the rest of the response, and aborts the request if that is too long or takes too long. */
	readonly discard: () => void;
};

export type EndlessListener = (server: string, err: Error) => void;

/** Message of the error with which undici destroys the socket of an aborted request. */
const abortMessage = 'aborted';

/** Sends requests to servers over one connection pool per server. */
export class Upstream {
	/** @param onEndless called when the connection to a server is closed, since what it sends does not end */
	static create(onEndless: EndlessListener = () => undefined): Upstream {
		return new Upstream(onEndless);
	}

	private readonly _pools = new Map<
		string,
		{readonly pool: Dispatcher; readonly address: string}
	>();

	private readonly _guard: ConnectionGuard;

	private constructor(private readonly _onEndless: EndlessListener) {
		const connect = buildConnector({timeout: connectTimeoutMs});
		this._guard = ConnectionGuard.create((options, callback) => {
			connect(options, (...result) => {
				const [, socket] = result;
				if (socket) {
					resetOnAbort(socket);
				}

				callback(...result);
			});
		});
	}

	send(req: UpstreamRequest, sink: UpstreamSink): UpstreamCall {
		let controller: Dispatcher.DispatchController | undefined;
		let isAborted = false;
		let discardedBytes: number | undefined;
		let discardTimer: NodeJS.Timeout | undefined;
		const abort = () => {
			if (!isAborted) {
				isAborted = true;
				clearTimeout(discardTimer);
				controller?.abort(new Error('aborted'));
			}
		};

		const start = () =>
			this._poolOf(req).dispatch(
				{
					method: req.method,
					path: req.path,
					headers: req.headers,
					body: req.body.length === 0 ? null : req.body,
					headersTimeout: 0,
					bodyTimeout: 0,
				},
				this._guard.wrap({
					onRequestStart(started) {
						controller = started;
						if (isAborted || !sink.onSending()) {
							isAborted = true;
							started.abort(new Error('aborted'));
						}
					},
					onResponseStart: (_controller, status, headers) => {
						if (!isAborted && status >= 200) {
							sink.onHeaders(
								status,
								headers,
								framingOf(req.method, status, headers),
								this._guard.isFirstResponse,
							);
						}
					},
					onResponseData: (responding, chunk) => {
						if (isAborted) {
							return;
						}

						if (discardedBytes !== undefined) {
							discardedBytes += chunk.length;
							if (discardedBytes > maxDiscardedBytes) {
								abort();
								this._onEndless(
									req.server,
									EndlessResponseError.create('refusal', discardedBytes),
								);
							}
						} else if (!sink.onData(chunk)) {
							responding.pause();
						}
					},
					onResponseEnd() {
						clearTimeout(discardTimer);
						if (!isAborted) {
							sink.onEnd();
						}
					},
					onResponseError(_controller, err) {
						clearTimeout(discardTimer);
						if (!isAborted) {
							sink.onError(err);
						}
					},
				}),
			);
		try {
			start();
		} catch (error) {
			// An address, for example, that no URL can hold.
			isAborted = true;
			sink.onError(error instanceof Error ? error : new Error(String(error)));
		}

		return {
			abort,
			resume() {
				controller?.resume();
			},
			discard() {
				discardedBytes = 0;
				discardTimer = setTimeout(abort, discardTimeoutMs);
			},
		};
	}

	/** Closes the pools of all other servers, once their requests have ended. */
	keepOnly(servers: ReadonlySet<string>): void {
		for (const [server, {pool}] of this._pools) {
			if (!servers.has(server)) {
				this._pools.delete(server);
				void pool.close();
			}
		}
	}

	private _poolOf({
		server,
		address,
		maxConnections,
	}: UpstreamRequest): Dispatcher {
		const known = this._pools.get(server);
		if (known?.address === address) {
			return known.pool;
		}

		void known?.pool.close();
		const pool = new Pool(`http://${address}`, {
			connections: maxConnections,
			pipelining: 1,
			connect: this._guard.connect,
			keepAliveTimeout: keepAliveMs,
			keepAliveMaxTimeout: 60_000,
			keepAliveTimeoutThreshold: 500,
		});
		pool.on('disconnect', (_origin, _targets, err) => {
			if (err instanceof EndlessResponseError) {
				this._onEndless(server, err);
			}
		});
		this._pools.set(server, {pool, address});
		return pool;
	}
}

function framingOf(
	method: string,
	status: number,
	headers: IncomingHttpHeaders,
): ResponseFraming {
	const transferEncoding = String(headers['transfer-encoding'] ?? '');
	if (transferEncoding.toLowerCase().includes('chunked')) {
		return 'chunks';
	}

	const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
	return hasNoBody || headers['content-length'] !== undefined
		? 'length'
		: 'connection';
}

/**
 * Makes a socket reset its connection when its request is aborted. After a plain close, bytes that are still unsent or
 * held up on the way would reach the server, which would then begin a request whose caller is gone.
 */
function resetOnAbort(socket: Socket): void {
	const destroy = socket.destroy.bind(socket);
	socket.destroy = err => {
		socket.destroy = destroy;
		if (err?.message !== abortMessage || socket.destroyed) {
			return destroy(err);
		}

		// Until the connection is closed, data may still arrive that the undici parser does not expect.
		socket.read = () => null;
		socket.destroy = () => destroy(err);
		return socket.resetAndDestroy();
	};
}
