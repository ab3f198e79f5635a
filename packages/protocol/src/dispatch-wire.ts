/**
 * The dispatch between entry and agent: `POST /dispatch` over HTTP.
 *
 * Answers stream as plain bytes with the backpressure of TCP and are cancelled by closing the connection,
 * which a call of a tRPC procedure does not give. All other messages between processes go over tRPC.
 *
 * - Request header `balsamtray-dispatch`: a `Dispatch` as base64url JSON. The body is the caller's body.
 * - Request header `balsamtray-call`: the HTTP form of the caller's request, a `DispatchCall` as base64url JSON.
 * - Response header `balsamtray-reply`: a `DispatchReply` as base64url JSON.
 * - Response trailer `balsamtray-end`: a `DispatchEnd` as base64url JSON. An answer without it is not whole.
 */
import {Buffer} from 'node:buffer';
import type {
	ConfigChange,
	Refusal,
	ServerStatus,
	Usage,
} from '@balsamtray/core';

/** Request header that carries the dispatch. */
export const dispatchHeader = 'balsamtray-dispatch';

/** Request header that carries the HTTP form of the caller's request. */
export const callHeader = 'balsamtray-call';

/** Response header that carries the agent's reply. */
export const replyHeader = 'balsamtray-reply';

/** Response trailer that marks a whole answer. */
export const endTrailer = 'balsamtray-end';

/** Most milliseconds between now and a caller's deadline. */
export const longestDeadlineMs = 15 * 60 * 1000;

/** The HTTP form in which the back end gets the request. It never holds the caller's key. */
export type DispatchCall = {
	readonly method: string;
	/** Path and query at the back end, such as `/v1/chat/completions`. */
	readonly path: string;
	readonly contentType?: string;
	readonly accept?: string;
};

/** What an agent says before the first byte of the answer. */
export type DispatchReply =
	| {
			readonly kind: 'answer';
			readonly attemptId: string;
			/** Status code of the back end. */
			readonly status: number;
			readonly contentType: string;
			readonly server: ServerStatus;
	  }
	| {
			readonly kind: 'refused';
			readonly attemptId: string;
			readonly refusal: Refusal;
			readonly server: ServerStatus;
			/** Changes that the entry's configuration lacks. */
			readonly changes: readonly ConfigChange[];
	  };

/** What an agent says after the last byte of a whole answer. */
export type DispatchEnd = {
	readonly attemptId: string;
	readonly usage: Usage;
};

/** Writes a value in the form in which headers and trailers carry it. */
export function encodeHeader(value: Record<string, unknown>): string {
	return Buffer.from(JSON.stringify(value)).toString('base64url');
}

/** Reads a header or trailer. Returns undefined where it is absent or malformed; the caller checks the shape. */
export function decodeHeader(text: unknown): unknown {
	if (typeof text !== 'string' || text === '') {
		return undefined;
	}

	try {
		return JSON.parse(Buffer.from(text, 'base64url').toString()) as unknown;
	} catch {
		return undefined;
	}
}
