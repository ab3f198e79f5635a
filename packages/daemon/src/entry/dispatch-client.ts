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
	parseEnd,
	parseReply,
	replyHeader,
	type DispatchCall,
} from '@balsamtray/protocol';
import {request, type Dispatcher} from 'undici';
import {answerSilenceMs, outcomeWaitMs, readAheadBytes} from './constants.js';

/** One dispatch as it goes over the wire. */
export type DispatchOrder = {
	readonly url: string;
	readonly dispatch: Dispatch;
	readonly call: DispatchCall;
	readonly body: Uint8Array;
	readonly signal: AbortSignal;
	readonly dispatcher: Dispatcher;
};

/** An answer that has started. */
export type DispatchAnswer = {
	readonly kind: 'answer';
	readonly status: number;
	readonly contentType: string;
	readonly server: ServerStatus;
	readonly body: AsyncIterable<Uint8Array>;
	/** Reads the mark of a whole answer, after the last byte of the body. Undefined: the answer is not whole. */
	readonly readEnd: () => Usage | undefined;
};

/** What becomes of a dispatch before the first byte of its answer. */
export type DispatchResponse =
	| DispatchAnswer
	| {
			readonly kind: 'refused';
			readonly refusal: Refusal;
			readonly server: ServerStatus;
			readonly changes: readonly ConfigChange[];
	  }
	| {readonly kind: 'failed'; readonly fault: DispatchFault};

/** Errors of a connection that was never made: nothing was sent. */
const connectErrorCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Sends a dispatch to an agent. It takes only an answer that names this attempt. */
export async function sendDispatch(
	order: DispatchOrder,
): Promise<DispatchResponse> {
	try {
		const response = await request(`${order.url}/dispatch`, {
			method: 'POST',
			headers: headersOf(order),
			body: order.body,
			signal: order.signal,
			dispatcher: order.dispatcher,
			headersTimeout: order.dispatch.timeLeftMs + outcomeWaitMs,
			bodyTimeout: answerSilenceMs,
			highWaterMark: readAheadBytes,
		});
		return await readResponse(response, order.dispatch.attemptId);
	} catch (error) {
		return {kind: 'failed', fault: faultOf(error)};
	}
}

function headersOf({
	dispatch,
	call,
}: DispatchOrder): Readonly<Record<string, string>> {
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
	const reply = parseReply(decodeHeader(response.headers[replyHeader]));
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
		readEnd() {
			const end = parseEnd(decodeHeader(response.trailers[endTrailer]));
			return end?.attemptId === attemptId ? end.usage : undefined;
		},
	};
}

function faultOf(error: unknown): DispatchFault {
	return {kind: isConnectError(error) ? 'notDelivered' : 'lost'};
}

/** An address with several families fails with one error for each. */
function isConnectError(error: unknown): boolean {
	if (error instanceof AggregateError) {
		return error.errors.every(each => isConnectError(each));
	}

	const code =
		error instanceof Error && 'code' in error ? error.code : undefined;
	return typeof code === 'string' && connectErrorCodes.has(code);
}

function ignoreError(): void {
	// The body of a reply that is not taken ends with an error, which says nothing new.
}
