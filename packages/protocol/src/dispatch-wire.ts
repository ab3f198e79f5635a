/**
 * The dispatch between entry and agent: `POST /dispatch` over HTTP.
 *
 * Answers stream as plain bytes with the backpressure of TCP and are cancelled by closing the connection,
 * which a call of a tRPC procedure does not give. All other messages between processes go over tRPC.
 *
 * - Request header `balsamtray-dispatch`: a `Dispatch` as base64url JSON. The body is the caller's body.
 * - Response header `balsamtray-reply`: a `DispatchReply` as base64url JSON.
 * - Response trailer `balsamtray-end`: a `DispatchEnd` as base64url JSON. An answer without it is not whole.
 */
import type {
	ConfigChange,
	Refusal,
	ServerStatus,
	Usage,
} from '@balsamtray/core';

/** Request header that carries the dispatch. */
export const dispatchHeader = 'balsamtray-dispatch';

/** Response header that carries the agent's reply. */
export const replyHeader = 'balsamtray-reply';

/** Response trailer that marks a whole answer. */
export const endTrailer = 'balsamtray-end';

/** Most milliseconds between now and a caller's deadline. */
export const longestDeadlineMs = 15 * 60 * 1000;

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
