import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
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

	private constructor() {}

	send(req: UpstreamRequest, sink: UpstreamSink): UpstreamCall {
		let controller: Dispatcher.DispatchController | undefined;
		let isAborted = false;
		this._poolOf(req).dispatch(
			{
				method: req.method as Dispatcher.HttpMethod,
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
					if (!isAborted) {
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
			connect: {timeout: connectTimeoutMs},
			keepAliveTimeout: keepAliveMs,
			keepAliveMaxTimeout: 60_000,
			keepAliveTimeoutThreshold: 500,
		});
		this._pools.set(server, {pool, address});
		return pool;
	}
}
