import {Agent, request, type Dispatcher} from 'undici';
import {StoreError, type StorePeer} from './store-error.js';

/** Connections that one client opens at most. */
const connectionCount = 32;
const unavailableStatus = 503;
const serverErrorStatus = 500;

/** Errors before the connection stood: nothing of the call has left this process. */
const connectErrorCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'ENOTFOUND',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** What an HTTP client of the platform's store is created from. */
export type StoreHttpOptions = {
	readonly peer: StorePeer;
	/** Base URL. */
	readonly url: string;
	readonly timeoutMs: number;
};

/** A call of the store. */
export type StoreCall = {
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	/** Statuses that are answers. Any other is an error. */
	readonly statuses: readonly number[];
};

/** The answer to a call of the store. */
export type StoreAnswer = {
	readonly status: number;
	readonly text: string;
};

/** Calls one service of the platform and sorts failures by whether a write may have taken effect. */
export class StoreHttp {
	static create(options: StoreHttpOptions): StoreHttp {
		return new StoreHttp(options);
	}

	private readonly _agent: Dispatcher;

	private constructor(private readonly _options: StoreHttpOptions) {
		this._agent = new Agent({
			connections: connectionCount,
			connect: {timeout: _options.timeoutMs},
		});
	}

	async call(storeCall: StoreCall): Promise<StoreAnswer> {
		const answer = await this._send(storeCall);
		if (storeCall.statuses.includes(answer.status)) {
			return answer;
		}

		const isSurelyNotWritten =
			answer.status < serverErrorStatus || answer.status === unavailableStatus;
		throw StoreError.create(
			this._options.peer,
			isSurelyNotWritten ? 'notWritten' : 'unknown',
			`${this._options.peer} answered ${storeCall.method} with status ${answer.status}`,
		);
	}

	async close(): Promise<void> {
		await this._agent.destroy();
	}

	private async _send(storeCall: StoreCall): Promise<StoreAnswer> {
		try {
			const res = await request(new URL(storeCall.path, this._options.url), {
				dispatcher: this._agent,
				method: storeCall.method,
				headers: storeCall.headers ?? null,
				body: storeCall.body ?? null,
				signal: AbortSignal.timeout(this._options.timeoutMs),
			});
			return {status: res.statusCode, text: await res.body.text()};
		} catch (error) {
			const isRead = storeCall.method === 'GET';
			throw StoreError.create(
				this._options.peer,
				isRead || isConnectError(error) ? 'notWritten' : 'unknown',
				`${this._options.peer} gave no answer to ${storeCall.method}`,
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
