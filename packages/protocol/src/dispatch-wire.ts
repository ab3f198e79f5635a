/**
 * Wire format of a dispatch from an entry to an agent: `POST /dispatch` over HTTP.
 *
 * Dispatches don't use tRPC, because answers stream as plain bytes with TCP backpressure and are cancelled by
 * closing the connection. All other messages between these processes use tRPC.
 *
 * - Request header `balsamtray-dispatch`: a `Dispatch` as base64url JSON. The body is the caller's body.
 * - Request header `balsamtray-call`: the HTTP form of the caller's request, a `DispatchCall` as base64url JSON.
 * - Response header `balsamtray-reply`: a `DispatchReply` as base64url JSON.
 * - Response trailer `balsamtray-end`: a `DispatchEnd` as base64url JSON. An answer without it is incomplete.
 */
import {Buffer} from 'node:buffer';
import type {
	ConfigChange,
	Refusal,
	ServerStatus,
	Usage,
} from '@balsamtray/core';

/** Request header with the dispatch. */
export const dispatchHeader = 'balsamtray-dispatch';

/** Request header with the HTTP form of the caller's request. */
export const callHeader = 'balsamtray-call';

/** Response header with the agent's reply. */
export const replyHeader = 'balsamtray-reply';

/** Response trailer that marks a complete answer. */
export const endTrailer = 'balsamtray-end';

/** Maximum time from now to a caller's deadline, in milliseconds. */
export const maxDeadlineMs = 15 * 60 * 1000;

/** HTTP form of the request that is sent to the backend. It never contains the caller's key. */
export type DispatchCall = {
	readonly method: string;
	/** Path and query at the backend, such as `/v1/chat/completions`. */
	readonly path: string;
	readonly contentType?: string;
	readonly accept?: string;
};

/** Reply that an agent sends before the first byte of the answer. */
export type DispatchReply =
	| {
			readonly kind: 'answer';
			readonly attemptId: string;
			/** Status code of the backend. */
			readonly status: number;
			readonly contentType: string;
			readonly server: ServerStatus;
	  }
	| {
			readonly kind: 'refused';
			readonly attemptId: string;
			readonly refusal: Refusal;
			readonly server: ServerStatus;
			/** Changes that are missing from the entry's configuration. */
			readonly changes: readonly ConfigChange[];
	  };

/** Data that an agent sends after the last byte of a complete answer. */
export type DispatchEnd = {
	readonly attemptId: string;
	readonly usage: Usage;
};

/** Encodes a value for a header or trailer as base64url JSON. */
export function encodeHeader(value: Record<string, unknown>): string {
	return Buffer.from(JSON.stringify(value)).toString('base64url');
}

/** Decodes a header or trailer. Returns undefined if it is absent or malformed. The caller has to check the shape. */
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
