import {createLinkFetchOver, type OperatorRouter} from '@balsamtray/protocol';
import {createTRPCClient, httpLink, TRPCClientError} from '@trpc/client';
import {fetch} from 'undici';
import type {ConnectionSettings} from './settings.js';

/** Time in which an entry must have answered, in milliseconds. */
const callTimeoutMs = 30_000;

/** A call of the operators' API that got no answer. */
export type CallFailure =
	/** The key is missing, wrong or of the wrong role. */
	| {readonly kind: 'unauthorized'; readonly message: string}
	/** The entry could not be reached, or did not answer. */
	| {readonly kind: 'unreachable'; readonly message: string}
	/** The entry refused the call as malformed, or failed. */
	| {readonly kind: 'failed'; readonly message: string};

/** Creates a typed client of the operators' API. */
export function createOperatorClient(settings: ConnectionSettings) {
	return createTRPCClient<OperatorRouter>({
		links: [
			httpLink({
				url: `${settings.url}/trpc`,
				headers: {authorization: `Bearer ${settings.key}`},
				fetch: createLinkFetchOver(async (url, req) =>
					fetch(url, {...req, signal: AbortSignal.timeout(callTimeoutMs)}),
				),
			}),
		],
	});
}

/** Client of the operators' API. */
export type OperatorClient = ReturnType<typeof createOperatorClient>;

/** Sorts an error of a call. */
export function failureOf(error: unknown): CallFailure {
	if (!(error instanceof TRPCClientError)) {
		throw error;
	}

	const message = String(error.message);
	const code = codeOf(error.data);
	if (code === 'UNAUTHORIZED' || code === 'FORBIDDEN') {
		return {kind: 'unauthorized', message};
	}

	return code === undefined
		? {kind: 'unreachable', message: 'no entry answered at the URL'}
		: {kind: 'failed', message};
}

function codeOf(data: unknown): unknown {
	return typeof data === 'object' && data !== null && 'code' in data
		? data.code
		: undefined;
}
