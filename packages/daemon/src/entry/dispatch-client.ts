import type {
	ConfigChange,
	Dispatch,
	DispatchFault,
	Refusal,
	ServerStatus,
	Usage,
} from '@balsamtray/core';
import {
	callHeader,
	decodeHeader,
	dispatchHeader,
	encodeHeader,
	endTrailer,
	parseDispatchEnd,
	parseDispatchReply,
	replyHeader,
	type DispatchCall,
} from '@balsamtray/protocol';
import {request, type Dispatcher} from 'undici';
import {
	answerIdleTimeoutMs,
	outcomeWaitMs,
	readAheadBytes,
} from './constants.js';

/** One dispatch to send, with the address of its agent. */
export type DispatchRequest = {
	readonly url: string;
	readonly dispatch: Dispatch;
	readonly call: DispatchCall;
	readonly body: Uint8Array;
	readonly signal: AbortSignal;
	readonly dispatcher: Dispatcher;
};

/** An answer whose headers have arrived. */
export type DispatchAnswer = {
	readonly kind: 'answer';
	readonly status: number;
	readonly contentType: string;
	readonly server: ServerStatus;
	readonly body: AsyncIterable<Uint8Array>;
	/** Reads the usage from the end trailer, after the body has ended. Undefined if the answer is incomplete. */
	readonly readUsage: () => Usage | undefined;
};

/** Result of a dispatch: the headers of the reply have arrived, or the dispatch has failed. */
export type DispatchResponse =
	| DispatchAnswer
	| {
			readonly kind: 'refused';
			readonly refusal: Refusal;
			readonly server: ServerStatus;
			readonly changes: readonly ConfigChange[];
	  }
	| {readonly kind: 'failed'; readonly fault: DispatchFault};

/** Error codes of connections that were never established, so nothing was sent. */
const connectErrorCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Sends a dispatch to an agent. A reply that names another attempt is a failure. Errors of the connection are returned, not thrown. */
export async function sendDispatch(
	req: DispatchRequest,
): Promise<DispatchResponse> {
	try {
		const response = await request(`${req.url}/dispatch`, {
			method: 'POST',
			headers: headersOf(req),
			body: req.body,
			signal: req.signal,
			dispatcher: req.dispatcher,
			headersTimeout: req.dispatch.timeLeftMs + outcomeWaitMs,
			bodyTimeout: answerIdleTimeoutMs,
			highWaterMark: readAheadBytes,
		});
		return await readResponse(response, req.dispatch.attemptId);
	} catch (error) {
		return {kind: 'failed', fault: faultOf(error)};
	}
}

function headersOf({
	dispatch,
	call,
}: DispatchRequest): Readonly<Record<string, string>> {
	return {
		[dispatchHeader]: encodeHeader(dispatch),
		[callHeader]: encodeHeader(call),
		'content-type': call.contentType ?? 'application/octet-stream',
		...(dispatch.traceparent === undefined
			? {}
			: {traceparent: dispatch.traceparent}),
	};
}

async function readResponse(
	response: Dispatcher.ResponseData,
	attemptId: string,
): Promise<DispatchResponse> {
	const reply = parseDispatchReply(decodeHeader(response.headers[replyHeader]));
	if (reply?.attemptId !== attemptId) {
		response.body.on('error', ignoreError);
		response.body.destroy();
		const fault = {kind: reply === undefined ? 'lost' : 'mismatched'} as const;
		return {kind: 'failed', fault};
	}

	if (reply.kind === 'refused') {
		await response.body.dump();
		const {refusal, server, changes} = reply;
		return {kind: 'refused', refusal, server, changes};
	}

	const {status, contentType, server} = reply;
	return {
		kind: 'answer',
		status,
		contentType,
		server,
		body: response.body as AsyncIterable<Uint8Array>,
		readUsage() {
			const end = parseDispatchEnd(decodeHeader(response.trailers[endTrailer]));
			return end?.attemptId === attemptId ? end.usage : undefined;
		},
	};
}

function faultOf(error: unknown): DispatchFault {
	return {kind: isConnectError(error) ? 'notDelivered' : 'lost'};
}

/** An `AggregateError` holds one error per address of a host with several (IPv4 and IPv6). */
function isConnectError(error: unknown): boolean {
	if (error instanceof AggregateError) {
		return error.errors.every(each => isConnectError(each));
	}

	const code =
		error instanceof Error && 'code' in error ? error.code : undefined;
	return typeof code === 'string' && connectErrorCodes.has(code);
}

function ignoreError(): void {
	// Destroying the body of a rejected reply emits an error that carries no information.
}
