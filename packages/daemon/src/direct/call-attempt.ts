import type {Disposable} from '../common/types.js';
import type {EngineTurn} from './engine-turn.js';
import type {PartExposure} from './part-exposures.js';
import type {ResponseFraming, UpstreamCall} from './upstream.js';

/** One attempt to serve the request on a server. */
export type Attempt = {
	readonly server: string;
	/** Adapter version that the request expects at the server, once dispatched; undefined if any is accepted. */
	expectedVersion: number | undefined;
	/** Turn of its prompt at the engine; undefined without one. */
	turn: EngineTurn | undefined;
	/** Prompt tokens that the engine prefills before this one; undefined if its agent did not reply. */
	tokensAhead: number | undefined;
	/** Time at which the request was sent. */
	sentAt: number | undefined;
	/** Undefined until the attempt is dispatched. */
	call: UpstreamCall | undefined;
	/** Whether a connection was assigned to the request. From then on the server may run it. */
	isSent: boolean;
	/** Ends the registration with `SentCalls`; undefined before the request is sent. */
	sent: Disposable | undefined;
	/** Ends the registration with `DepartingCalls`; undefined before the request is sent, or if it may not move. */
	departing: Disposable | undefined;
	/** What becomes of the parts of its prompt at the server; undefined before the request is sent. */
	exposure: PartExposure | undefined;
	/** Undefined until the response headers arrive. */
	framing: ResponseFraming | undefined;
	/** Whether a complete event of the stream has arrived. */
	hasEvents: boolean;
};

/** Creates an attempt that is not dispatched yet. */
export function createAttempt(server: string): Attempt {
	return {
		server,
		expectedVersion: undefined,
		call: undefined,
		turn: undefined,
		tokensAhead: undefined,
		sentAt: undefined,
		isSent: false,
		sent: undefined,
		departing: undefined,
		exposure: undefined,
		framing: undefined,
		hasEvents: false,
	};
}
