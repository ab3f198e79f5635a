import type {RouteKind} from '../authority/types.js';
import {
	shutdownCallMs,
	shutdownFirstRequestMs,
	shutdownLeaveMs,
	shutdownStreamWindowMs,
} from './constants.js';

/** What a stopping entry still has to do, read in one turn of the event loop. */
export type DrainLoad = {
	/** Requests that have not ended. */
	readonly running: number;
	/** Callers' connections that this side has not closed. */
	readonly connections: number;
	/** Whether callers can open new connections. */
	readonly isListening: boolean;
};

/**
 * What a stopping entry does next: it waits, closes idle connections, also stops listening, or ends, with nothing left or
 * since its time is over.
 */
export type DrainStep =
	'wait' | 'closeIdle' | 'stopListening' | 'drained' | 'graceOver';

/**
 * Decides which requests a stopping entry takes and when its process may end. One object decides both, so that nothing is
 * taken once the end is decided, however long the process needs until its exit.
 */
export class EntryDrain {
	/**
	 * @param lengthMs time in which the process ends by itself, in milliseconds. Fixed at the stop signal, since the platform
	 *   counts from there
	 */
	static create(lengthMs: number, now: number): EntryDrain {
		return new EntryDrain(now, now + lengthMs);
	}

	private _hasEnded = false;

	private constructor(
		private readonly _startedAt: number,
		private readonly _endsAt: number,
	) {}

	/** Whether the end of the process is decided. No request is sent to a server from then on. */
	get hasEnded(): boolean {
		return this._hasEnded;
	}

	/**
	 * Returns whether a request is taken that arrives now. Balancers keep sending requests for a while, and until the
	 * process ends if a whole zone restarts. A request that can't finish in time is refused and can run elsewhere. Once
	 * callers have had time to switch to another entry, all requests are refused, so the process ends and restarts sooner.
	 *
	 * @param hasOthers whether another entry accepts requests
	 */
	accepts(kind: RouteKind, hasOthers: boolean, now: number): boolean {
		const sinceMs = now - this._startedAt;
		if (this._hasEnded || (hasOthers && sinceMs >= shutdownLeaveMs)) {
			return false;
		}

		return kind === 'stream'
			? sinceMs < shutdownStreamWindowMs
			: this._endsAt - now >= shutdownCallMs;
	}

	/**
	 * Returns the next step. The process may end early only if nothing is left and nothing can arrive: callers can open
	 * connections as long as the entry listens. It stops listening before the end, so that a connection that was opened
	 * until then brings its first request in time for an answer.
	 */
	next(load: DrainLoad, hasOthers: boolean, now: number): DrainStep {
		if (now >= this._endsAt) {
			this._hasEnded = true;
			return 'graceOver';
		}

		if (now - this._startedAt < shutdownLeaveMs) {
			return 'wait';
		}

		const {running, connections, isListening} = load;
		const isIdle = running === 0 && connections === 0;
		if (isIdle && !isListening) {
			this._hasEnded = true;
			return 'drained';
		}

		const isNearEnd = this._endsAt - now <= shutdownFirstRequestMs;
		return isIdle || hasOthers || isNearEnd ? 'stopListening' : 'closeIdle';
	}
}
