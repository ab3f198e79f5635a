import {Agent, request, type Dispatcher} from 'undici';
import {StoreError, type StorePeer} from './store-error.js';

/** Maximum number of connections that one client opens. */
const maxConnectionsPerClient = 32;
const unavailableStatus = 503;
const serverErrorStatus = 500;

/** Error codes of connections that were never established, so nothing was sent. */
const connectErrorCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'ENOTFOUND',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Options of `StoreHttp`. */
export type StoreHttpOptions = {
	readonly peer: StorePeer;
	/** Base URL. */
	readonly url: string;
	/** Timeout of a connection attempt and of each request. */
	readonly timeoutMs: number;
};

/** A request to the store. */
export type StoreRequest = {
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	/** Expected statuses. Any other status is an error. */
	readonly statuses: readonly number[];
};

/** The store's response. */
export type StoreResponse = {
	readonly status: number;
	readonly text: string;
};

/** HTTP client of one storage service. Each `StoreError` has an `outcome`: whether a write may have taken effect. */
export class StoreHttp {
	static create(options: StoreHttpOptions): StoreHttp {
		return new StoreHttp(options);
	}

	private readonly _agent: Dispatcher;

	private constructor(private readonly _options: StoreHttpOptions) {
		this._agent = new Agent({
			connections: maxConnectionsPerClient,
			connect: {timeout: _options.timeoutMs},
		});
	}

	/**
	 * Sends a request and returns the response if its status is expected.
	 * @throws StoreError on any other status, a connection error or a timeout.
	 */
	async call(storeRequest: StoreRequest): Promise<StoreResponse> {
		const response = await this._send(storeRequest);
		if (storeRequest.statuses.includes(response.status)) {
			return response;
		}

		const isNotWritten =
			response.status < serverErrorStatus ||
			response.status === unavailableStatus;
		throw StoreError.create(
			this._options.peer,
			isNotWritten ? 'notWritten' : 'unknown',
			`${this._options.peer} answered ${storeRequest.method} with status ${response.status}`,
		);
	}

	/** Closes all connections. Requests in flight fail. */
	async close(): Promise<void> {
		await this._agent.destroy();
	}

	private async _send(storeRequest: StoreRequest): Promise<StoreResponse> {
		try {
			const res = await request(new URL(storeRequest.path, this._options.url), {
				dispatcher: this._agent,
				method: storeRequest.method,
				headers: storeRequest.headers ?? null,
				body: storeRequest.body ?? null,
				signal: AbortSignal.timeout(this._options.timeoutMs),
			});
			return {status: res.statusCode, text: await res.body.text()};
		} catch (error) {
			const isRead = storeRequest.method === 'GET';
			throw StoreError.create(
				this._options.peer,
				isRead || isConnectError(error) ? 'notWritten' : 'unknown',
				`${this._options.peer} gave no answer to ${storeRequest.method}`,
				error,
			);
		}
	}
}

function isConnectError(error: unknown): boolean {
	if (error instanceof AggregateError) {
		return error.errors.every(inner => isConnectError(inner));
	}

	return (
		error instanceof Error &&
		'code' in error &&
		typeof error.code === 'string' &&
		connectErrorCodes.has(error.code)
	);
}
