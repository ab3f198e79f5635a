import type {IncomingHttpHeaders} from 'node:http';
import {longestDeadlineMs} from '@balsamtray/protocol';
import {
	longestForwardedHeader,
	longestIdempotencyKey,
	longestPath,
} from './constants.js';

/** What the headers of a caller say about its request. */
export type RequestHeaders = {
	readonly idempotencyKey?: string;
	readonly timeoutMs?: number;
	readonly traceparent?: string;
};

/** Outcome of reading the headers. */
export type RequestHeadersResult =
	| {readonly kind: 'parsed'; readonly headers: RequestHeaders}
	| {readonly kind: 'malformed'; readonly message: string};

const bearerPattern = /^bearer +(?<key>\S+)$/iv;
const idempotencyKeyPattern = /^[\u0021-\u007E]+$/v;
const traceparentPattern = /^[\da-f]{2}-[\da-f]{32}-[\da-f]{16}-[\da-f]{2}$/v;
const printablePattern = /^[\u0020-\u007E]*$/v;
const pathPattern = /^\/[\u0021-\u007E]*$/v;
const wholeNumberPattern = /^[1-9]\d{0,8}$/v;

/** Text of the caller's key. Undefined without a key, and an empty one where the header is malformed. */
export function keyTextOf({
	authorization,
}: IncomingHttpHeaders): string | undefined {
	if (authorization === undefined) {
		return undefined;
	}

	return bearerPattern.exec(authorization)?.groups?.key ?? malformedKey;
}

/** Stands for a header that holds no key, so that it is refused like a wrong key. */
const malformedKey = '\0malformed';

/** A header as it may be handed on to a back end. Undefined where it may not. */
export function forwardableHeader(
	value: string | undefined,
): string | undefined {
	return value !== undefined &&
		value.length <= longestForwardedHeader &&
		printablePattern.test(value)
		? value
		: undefined;
}

/** Whether a path and query may be handed on to a back end. */
export function isForwardablePath(path: string): boolean {
	return path.length <= longestPath && pathPattern.test(path);
}

/** Reads the headers that the entry acts on. All others stay here. */
export function readHeaders(
	headers: IncomingHttpHeaders,
): RequestHeadersResult {
	const idempotencyKey = single(headers['idempotency-key']);
	if (idempotencyKey !== undefined && !isIdempotencyKey(idempotencyKey)) {
		return malformed(
			`Idempotency-Key must be 1 to ${longestIdempotencyKey} printable characters without spaces.`,
		);
	}

	const timeout = single(headers['x-request-timeout-ms']);
	if (timeout !== undefined && !isTimeout(timeout)) {
		return malformed(
			`X-Request-Timeout-Ms must be a whole number from 1 to ${longestDeadlineMs}.`,
		);
	}

	const traceparent = single(headers.traceparent);
	const isTraced =
		traceparent !== undefined && traceparentPattern.test(traceparent);
	return {
		kind: 'parsed',
		headers: {
			...(idempotencyKey === undefined ? {} : {idempotencyKey}),
			...(timeout === undefined ? {} : {timeoutMs: Number(timeout)}),
			...(isTraced ? {traceparent} : {}),
		},
	};
}

function isIdempotencyKey(text: string): boolean {
	return (
		text.length <= longestIdempotencyKey && idempotencyKeyPattern.test(text)
	);
}

function isTimeout(text: string): boolean {
	return wholeNumberPattern.test(text) && Number(text) <= longestDeadlineMs;
}

function malformed(message: string): RequestHeadersResult {
	return {kind: 'malformed', message};
}

function single(
	value: string | readonly string[] | undefined,
): string | undefined {
	return typeof value === 'string' ? value : value?.[0];
}
