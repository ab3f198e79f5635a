import type {BackendFault, BackendHealth} from '@balsamtray/core';
import {Agent, buildConnector, DecoratorHandler, type Dispatcher} from 'undici';
import {z} from 'zod';
import {ConnectionGuard} from '../common/connection-guard.js';
import {createResponseCheck} from './response-check.js';
import {relayBytes, relayEvents, relayComplete} from './response-relay.js';
import {
	responseIdleTimeoutMs,
	responseHeadersTimeoutMs,
	connectTimeoutMs,
	healthTimeoutMs,
	unloadTimeoutMs,
} from './constants.js';
import {createEngineBody, type EngineBody} from './engine-body.js';
import type {ResponseSink, BackendCall, CallOutcome} from './types.js';

const healthSchema = z.object({
	boot_id: z.string(),
	uptime_ms: z.number().nonnegative(),
	loaded_adapters: z.array(z.string()).default([]),
});

/** Health assumed for a plain service without a health report. */
const unknownHealth: BackendHealth = {
	bootId: 'unknown',
	uptimeMs: 0,
	loadedAdapters: [],
};

const okStatus = 200;
const badRequestStatus = 400;
const notFoundStatus = 404;
const tooManyRequestsStatus = 429;
const serverErrorStatus = 500;
const unavailableStatus = 503;

/** Error codes of connections that were never established, so nothing was sent. */
const connectErrorCodes: ReadonlySet<unknown> = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Options of a backend client. */
export type BackendClientOptions = {
	readonly backendUrl: string;
	/** Fencing token sent with each load and unload operation. */
	readonly fencingToken: number;
	/** Whether a missing health report is an error. Plain services may have none. */
	readonly isHealthReportRequired: boolean;
};

/** HTTP client of the backend server. Of the caller's headers, only the content type and `accept` are forwarded. */
export class BackendClient {
	static create(options: BackendClientOptions): BackendClient {
		return new BackendClient(options);
	}

	private readonly _guard = ConnectionGuard.create(
		buildConnector({timeout: connectTimeoutMs}),
	);

	private readonly _agent = new Agent({
		connect: this._guard.connect,
		pipelining: 1,
		headersTimeout: responseHeadersTimeoutMs,
		bodyTimeout: responseIdleTimeoutMs,
	});

	private readonly _dispatcher = this._agent.compose(
		dispatch => (options, handler) =>
			dispatch(options, this._guard.wrap(new DecoratorHandler(handler))),
	);

	private constructor(private readonly _options: BackendClientOptions) {}

	/** Reads the health report. Throws if the backend server is unreachable or unhealthy. */
	async health(): Promise<BackendHealth> {
		const res = await this._request({
			method: 'GET',
			path: '/server_info',
			signal: AbortSignal.timeout(healthTimeoutMs),
		});
		const text = await res.body.text();
		if (res.statusCode >= serverErrorStatus) {
			throw new Error(`the health check failed with status ${res.statusCode}`);
		}

		const health = parseHealth(text);
		if (!health && this._options.isHealthReportRequired) {
			throw new Error('the health report is malformed');
		}

		return health ?? unknownHealth;
	}

	/** Loads an adapter. Throws if the load fails or its outcome is unknown. */
	async load(
		servedName: string,
		weights: string,
		timeoutMs: number,
	): Promise<void> {
		const status = await this._sendOperation(
			'/v1/load_lora_adapter',

			{lora_name: servedName, lora_path: weights},
			timeoutMs,
		);
		if (status !== okStatus) {
			throw new Error(`the load failed with status ${status}`);
		}
	}

	/** Unloads an adapter. Succeeds if the adapter is not loaded. Throws if the unload fails. */
	async unload(servedName: string): Promise<void> {
		const status = await this._sendOperation(
			'/v1/unload_lora_adapter',

			{lora_name: servedName},
			unloadTimeoutMs,
		);
		if (status !== okStatus && status !== notFoundStatus) {
			throw new Error(`the unload failed with status ${status}`);
		}
	}

	/** Runs a call and relays its response. Never throws. */
	async run(
		call: BackendCall,
		sink: ResponseSink,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		return call.servedName === undefined
			? this._runOnService(call, sink, signal)
			: this._runOnEngine(call, call.servedName, sink, signal);
	}

	/** Closes all connections at once. */
	async destroy(): Promise<void> {
		await this._agent.destroy();
	}

	private async _runOnEngine(
		call: BackendCall,
		servedName: string,
		sink: ResponseSink,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		const body = createEngineBody(call.body, servedName, call.priority);
		if (!body) {
			return failed('rejected');
		}

		const res = await this._send(call, body.bytes, signal);
		if (typeof res === 'string') {
			return failed(res);
		}

		if (res.statusCode !== okStatus) {
			return relayEngineError(res, sink);
		}

		return relayEngineResponse(res, {...call, servedName}, body, sink);
	}

	private async _runOnService(
		call: BackendCall,
		sink: ResponseSink,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		const res = await this._send(call, call.body, signal);
		if (typeof res === 'string') {
			return failed(res);
		}

		if (res.headers['x-request-id'] !== call.attemptId) {
			await discard(res);
			return failed('mismatch');
		}

		return relayBytes(res, sink);
	}

	/** Sends a call and waits for the response headers. */
	private async _send(
		{attemptId, call, traceparent}: BackendCall,
		body: Uint8Array,
		signal: AbortSignal,
	): Promise<Dispatcher.ResponseData | BackendFault> {
		try {
			return await this._request({
				method: call.method,
				path: call.path,
				headers: {
					'x-request-id': attemptId,
					...(call.contentType !== undefined && {
						'content-type': call.contentType,
					}),
					...(call.accept !== undefined && {accept: call.accept}),
					...(traceparent && {traceparent}),
				},
				body: body.length > 0 ? body : null,
				signal,
			});
		} catch (error) {
			return isConnectError(error) ? 'unreachable' : 'connection_lost';
		}
	}

	private async _sendOperation(
		path: string,
		operation: Readonly<Record<string, string>>,
		timeoutMs: number,
	): Promise<number> {
		const res = await this._request({
			method: 'POST',
			path,
			headers: {
				'content-type': 'application/json',
				'x-fencing-token': String(this._options.fencingToken),
			},
			body: JSON.stringify(operation),
			signal: AbortSignal.timeout(timeoutMs),
		});
		await res.body.dump();
		return res.statusCode;
	}

	private async _request(
		options: Omit<Dispatcher.RequestOptions, 'origin'>,
	): Promise<Dispatcher.ResponseData> {
		return this._dispatcher.request({
			...options,
			origin: this._options.backendUrl,
		});
	}
}

function failed(fault: BackendFault): CallOutcome {
	return {kind: 'failed', fault};
}

/**
 * Relays client errors other than 404 and 429 to the caller. Statuses 404, 429 and 503 count as
 * rejected before the call ran, all others as failed.
 */
async function relayEngineError(
	res: Dispatcher.ResponseData,
	sink: ResponseSink,
): Promise<CallOutcome> {
	const {statusCode} = res;
	const isClientError =
		statusCode >= badRequestStatus &&
		statusCode < serverErrorStatus &&
		statusCode !== notFoundStatus &&
		statusCode !== tooManyRequestsStatus;
	if (isClientError) {
		return relayBytes(res, sink);
	}

	await discard(res);
	const isRejected =
		statusCode === notFoundStatus ||
		statusCode === tooManyRequestsStatus ||
		statusCode === unavailableStatus;
	return failed(isRejected ? 'rejected' : 'failed');
}

async function relayEngineResponse(
	res: Dispatcher.ResponseData,
	call: BackendCall & {readonly servedName: string},
	body: EngineBody,
	sink: ResponseSink,
): Promise<CallOutcome> {
	const check = createResponseCheck(call.attemptId, call.servedName);
	const {promptTokens} = call;
	return body.isStreamed
		? relayEvents(res, sink, check, {
				promptTokens,
				isUsageRequested: body.isUsageRequested,
			})
		: relayComplete(res, sink, check, promptTokens);
}

async function discard(res: Dispatcher.ResponseData): Promise<void> {
	try {
		await res.body.dump();
	} catch {
		// The response is not used.
	}
}

/** Whether the error or one of its causes has one of the `connectErrorCodes`. */
function isConnectError(error: unknown): boolean {
	if (!(error instanceof Error)) {
		return false;
	}

	const code: unknown = Reflect.get(error, 'code');
	return connectErrorCodes.has(code) || isConnectError(error.cause);
}

function parseHealth(text: string): BackendHealth | undefined {
	try {
		const parsed = healthSchema.parse(JSON.parse(text));
		return {
			bootId: parsed.boot_id,
			uptimeMs: parsed.uptime_ms,
			loadedAdapters: parsed.loaded_adapters,
		};
	} catch {
		return undefined;
	}
}
