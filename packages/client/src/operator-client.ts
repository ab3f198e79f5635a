import {createLinkFetchWith, type OperatorRouter} from '@balsamtray/protocol';
import {createTRPCClient, httpLink, TRPCClientError} from '@trpc/client';
import {fetch} from 'undici';
import type {ConnectionSettings} from './settings.js';

/** Timeout of one call, in milliseconds. */
const callTimeoutMs = 30_000;

/** Failure of a call to the operator API. */
export type CallFailure =
	/** The key is missing or invalid, or its role does not permit the call. */
	| {readonly kind: 'unauthorized'; readonly message: string}
	/** The entry is unreachable or did not respond within the timeout. */
	| {readonly kind: 'unreachable'; readonly message: string}
	/** The entry rejected the call as malformed or failed to process it. */
	| {readonly kind: 'failed'; readonly message: string};

/** Creates a typed client of the operator API. */
export function createOperatorClient(settings: ConnectionSettings) {
	return createTRPCClient<OperatorRouter>({
		links: [
			httpLink({
				url: `${settings.url}/trpc`,
				headers: {authorization: `Bearer ${settings.key}`},
				fetch: createLinkFetchWith(async (url, req) =>
					fetch(url, {...req, signal: AbortSignal.timeout(callTimeoutMs)}),
				),
			}),
		],
	});
}

/** Typed client of the operator API. */
export type OperatorClient = ReturnType<typeof createOperatorClient>;

/**
 * Classifies an error of a call to the operator API.
 * @throws The error itself if it did not come from the API client.
 */
export function toCallFailure(error: unknown): CallFailure {
	if (!(error instanceof TRPCClientError)) {
		throw error;
	}

	const message = String(error.message);
	const code = errorCodeOf(error.data);
	if (code === 'UNAUTHORIZED' || code === 'FORBIDDEN') {
		return {kind: 'unauthorized', message};
	}

	return code === undefined
		? {
				kind: 'unreachable',
				message: 'the entry is unreachable or did not respond in time',
			}
		: {kind: 'failed', message};
}

function errorCodeOf(data: unknown): unknown {
	return typeof data === 'object' && data !== null && 'code' in data
		? data.code
		: undefined;
}
