import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import buildConnector from 'undici/lib/core/connect.js';
import Pool from 'undici/lib/dispatcher/pool.js';
import {connectTimeoutMs, keepAliveMs} from './constants.js';

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

/** What becomes of a request to a server, in this order. */
export type UpstreamSink = {
	/** A connection takes the request: from here on it may run. */
	readonly onSent: () => void;
	readonly onHeaders: (status: number, headers: IncomingHttpHeaders) => void;
	/** Returns whether more may come at once; otherwise `resume` asks for it. */
	readonly onData: (chunk: Uint8Array) => boolean;
	readonly onEnd: () => void;
	readonly onError: (err: Error) => void;
};

/** A request under way. */
export type UpstreamCall = {
	/** Ends the request, also one that no connection took yet. No event follows. */
	readonly abort: () => void;
	/** Asks for more of the answer. */
	readonly resume: () => void;
};

/** Keeps connections to the servers. */
export class Upstream {
	static create(): Upstream {
		return new Upstream();
	}

	private readonly _pools = new Map<
		string,
		{readonly pool: Dispatcher; readonly address: string}
	>();

	/** Connects and notes errors of connections before the client sees them. */
	private readonly _connect: buildConnector.connector;
	/** Whether a connection's error is being handled in this turn. */
	private _isBreaking = false;

	private constructor() {
		const connect = buildConnector({timeout: connectTimeoutMs});
		this._connect = (options, callback) => {
			connect(options, (...result) => {
				const [, socket] = result;
				socket?.prependListener('error', () => {
					this._noteBreak();
				});
				socket?.prependListener('end', () => {
					// Bytes and a reset that arrive together are told as bytes and an end. The kernel knows no peer then.
					if (socket.remotePort === undefined) {
						this._noteBreak();
					}
				});
				callback(...result);
			});
		};
	}

	send(req: UpstreamRequest, sink: UpstreamSink): UpstreamCall {
		let controller: Dispatcher.DispatchController | undefined;
		let isAborted = false;
		const isBreaking = () => this._isBreaking;
		this._poolOf(req).dispatch(
			{
				method: req.method,
				path: req.path,
				headers: req.headers,
				body: req.body.length === 0 ? null : req.body,
				headersTimeout: 0,
				bodyTimeout: 0,
			},
			{
				onRequestStart(started) {
					controller = started;
					if (isAborted) {
						started.abort(new Error('aborted'));
					} else {
						sink.onSent();
					}
				},
				onResponseStart(_controller, status, headers) {
					if (!isAborted && status >= 200) {
						sink.onHeaders(status, headers);
					}
				},
				onResponseData(responding, chunk) {
					if (!isAborted && !sink.onData(chunk)) {
						responding.pause();
					}
				},
				onResponseEnd() {
					if (isAborted) {
						return;
					}

					// The client takes a reset for the end of an answer without a length.
					if (isBreaking()) {
						sink.onError(new Error('the connection was reset'));
					} else {
						sink.onEnd();
					}
				},
				onResponseError(_controller, err) {
					if (!isAborted) {
						sink.onError(err);
					}
				},
			},
		);
		return {
			abort() {
				if (!isAborted) {
					isAborted = true;
					controller?.abort(new Error('aborted'));
				}
			},
			resume() {
				controller?.resume();
			},
		};
	}

	/** Closes the connections to servers that are no longer known, once they are idle. */
	keepOnly(servers: ReadonlySet<string>): void {
		for (const [server, {pool}] of this._pools) {
			if (!servers.has(server)) {
				this._pools.delete(server);
				void pool.close();
			}
		}
	}

	/** The client ends its requests in the same turn as the error. */
	private _noteBreak(): void {
		this._isBreaking = true;
		queueMicrotask(() => {
			this._isBreaking = false;
		});
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
			connect: this._connect,
			keepAliveTimeout: keepAliveMs,
			keepAliveMaxTimeout: 60_000,
			keepAliveTimeoutThreshold: 500,
		});
		this._pools.set(server, {pool, address});
		return pool;
	}
}
