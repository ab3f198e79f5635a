import {Buffer} from 'node:buffer';
import {
	Agent,
	request,
	type ClientRequest,
	type IncomingHttpHeaders,
} from 'node:http';
import {EndlessResponseError} from '../common/endless-response-error.js';
import {BodyBuffer} from '../intake/body-buffer.js';
import {NotWrittenError} from './not-written-error.js';
import type {Endpoint} from './types.js';

export type HttpCall = {
	readonly endpoint: Endpoint;
	readonly method: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	/** Timeout for the complete response, in milliseconds. */
	readonly timeoutMs: number;
	/** Maximum size of the response's body, in bytes. */
	readonly maxBodyBytes: number;
	/**
	 * Asked right before the call is written to a connection; if it returns false, the call rejects with a
	 * `NotWrittenError`. A call with this condition that takes too long resets its connection, so that the system does not
	 * send later what the receiver has not got yet.
	 */
	readonly mayWrite?: () => boolean;
};

export type HttpResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
};

/** HTTP client for small calls to the store, to peers and to the local engine, over keep-alive connections. */
export class HttpClient {
	/** @param maxConnections maximum number of connections per address */
	static create(maxConnections: number): HttpClient {
		return new HttpClient(
			new Agent({
				keepAlive: true,
				maxSockets: maxConnections,
				scheduling: 'lifo',
			}),
		);
	}

	private constructor(private readonly _agent: Agent) {}

	/** Rejects and closes the connection if it fails, the body is too long or not complete within `timeoutMs`. */
	async call(call: HttpCall): Promise<HttpResponse> {
		const {endpoint, method, path, headers, body, timeoutMs, maxBodyBytes} =
			call;
		const {mayWrite} = call;
		return new Promise((resolve, reject) => {
			const req = request({
				...endpoint,
				method,
				path,
				agent: this._agent,
				headers: {
					...headers,
					...(body !== undefined && {
						'content-type': 'application/json',
						'content-length': Buffer.byteLength(body).toString(),
					}),
				},
			});
			const fail = (err: Error) => {
				clearTimeout(timer);
				reject(
					new Error(
						`${method} ${endpoint.host}:${endpoint.port}${path}: ${err.message}`,
						{cause: err},
					),
				);
			};

			const timer = setTimeout(() => {
				const err = new Error(`no response within ${timeoutMs} ms`);
				fail(err);
				if (mayWrite !== undefined && req.socket?.connecting === false) {
					req.socket.resetAndDestroy();
				}

				req.destroy(err);
			}, timeoutMs);
			req.on('error', fail);
			req.once('response', res => {
				const received = BodyBuffer.create();
				res.on('data', (chunk: Uint8Array) => {
					const bytes = received.bytes + chunk.length;
					if (bytes > maxBodyBytes) {
						req.destroy(EndlessResponseError.create('body', bytes));
					} else {
						received.append(chunk);
					}
				});
				res.once('error', fail);
				res.once('end', () => {
					clearTimeout(timer);
					const whole = received.take();
					resolve({
						status: res.statusCode ?? 0,
						headers: res.headers,
						body: Buffer.from(
							whole.buffer,
							whole.byteOffset,
							whole.length,
						).toString(),
					});
				});
			});
			if (mayWrite === undefined) {
				req.end(body);
			} else {
				onConnected(req, () => {
					if (mayWrite()) {
						req.end(body);
					} else {
						req.destroy(NotWrittenError.create());
					}
				});
			}
		});
	}

	dispose(): void {
		this._agent.destroy();
	}
}

/** Calls back once a request has a connection, unless it has failed before. */
function onConnected(req: ClientRequest, run: () => void): void {
	const runUnlessFailed = () => {
		if (!req.destroyed) {
			run();
		}
	};

	req.once('socket', socket => {
		if (socket.connecting) {
			socket.once('connect', runUnlessFailed);
		} else {
			runUnlessFailed();
		}
	});
}
