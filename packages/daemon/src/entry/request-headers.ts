import type {IncomingHttpHeaders} from 'node:http';
import {maxDeadlineMs} from '@balsamtray/protocol';
import {
	maxForwardedHeaderLength,
	maxIdempotencyKeyLength,
	maxPathLength,
} from './constants.js';

/** Headers of a request that the entry uses. */
export type RequestHeaders = {
	readonly idempotencyKey?: string;
	readonly timeoutMs?: number;
	readonly traceparent?: string;
};

/** Result of parsing the headers. */
export type RequestHeadersResult =
	| {readonly kind: 'parsed'; readonly headers: RequestHeaders}
	| {readonly kind: 'malformed'; readonly message: string};

const bearerPattern = /^bearer +(?<key>\S+)$/iv;
const idempotencyKeyPattern = /^[\u0021-\u007E]+$/v;
const traceparentPattern = /^[\da-f]{2}-[\da-f]{32}-[\da-f]{16}-[\da-f]{2}$/v;
const printablePattern = /^[\u0020-\u007E]*$/v;
const pathPattern = /^\/[\u0021-\u007E]*$/v;
const wholeNumberPattern = /^[1-9]\d{0,8}$/v;

/** Key from the `Authorization` header. Undefined without the header, and `malformedKey` if the header is malformed. */
export function keyTextOf({
	authorization,
}: IncomingHttpHeaders): string | undefined {
	if (authorization === undefined) {
		return undefined;
	}

	return bearerPattern.exec(authorization)?.groups?.key ?? malformedKey;
}

/** Placeholder for a malformed `Authorization` header, so that it is refused like an unknown key. */
const malformedKey = '\0malformed';

/** Returns a header's value if it may be forwarded to a backend server, and undefined otherwise. */
export function forwardableHeader(
	value: string | undefined,
): string | undefined {
	return value !== undefined &&
		value.length <= maxForwardedHeaderLength &&
		printablePattern.test(value)
		? value
		: undefined;
}

/** Whether a path with its query may be forwarded to a backend server. */
export function isForwardablePath(path: string): boolean {
	return path.length <= maxPathLength && pathPattern.test(path);
}

/** Parses the headers that the entry itself uses. See `forwardableHeader` for those that backend servers receive. */
export function readHeaders(
	headers: IncomingHttpHeaders,
): RequestHeadersResult {
	const idempotencyKey = firstValue(headers['idempotency-key']);
	if (idempotencyKey !== undefined && !isIdempotencyKey(idempotencyKey)) {
		return malformed(
			`Idempotency-Key must be 1 to ${maxIdempotencyKeyLength} printable characters without spaces.`,
		);
	}

	const timeout = firstValue(headers['x-request-timeout-ms']);
	if (timeout !== undefined && !isTimeout(timeout)) {
		return malformed(
			`X-Request-Timeout-Ms must be a whole number from 1 to ${maxDeadlineMs}.`,
		);
	}

	const traceparent = firstValue(headers.traceparent);
	const hasValidTraceparent =
		traceparent !== undefined && traceparentPattern.test(traceparent);
	return {
		kind: 'parsed',
		headers: {
			...(idempotencyKey === undefined ? {} : {idempotencyKey}),
			...(timeout === undefined ? {} : {timeoutMs: Number(timeout)}),
			...(hasValidTraceparent ? {traceparent} : {}),
		},
	};
}

function isIdempotencyKey(text: string): boolean {
	return (
		text.length <= maxIdempotencyKeyLength && idempotencyKeyPattern.test(text)
	);
}

function isTimeout(text: string): boolean {
	return wholeNumberPattern.test(text) && Number(text) <= maxDeadlineMs;
}

function malformed(message: string): RequestHeadersResult {
	return {kind: 'malformed', message};
}

function firstValue(
	value: string | readonly string[] | undefined,
): string | undefined {
	return typeof value === 'string' ? value : value?.[0];
}
