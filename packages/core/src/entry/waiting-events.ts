import {refuseMaybeRun, refuseNotRun} from '../refusal/refusals.js';
import {isKeyValid} from './authorize.js';
import {defaultRetryAfterMs} from './constants.js';
import {
	collectAnswer,
	type EntryContext,
	refuseRetryable,
} from './entry-context.js';
import type {RequestFlow} from './request-flow.js';
import type {RequestState} from './request-state.js';

/** Handles events that affect waiting requests: new configuration, withdrawn keys, disconnects and deadlines. */
export class WaitingEvents {
	static create(context: EntryContext, flow: RequestFlow): WaitingEvents {
		return new WaitingEvents(context, flow);
	}

	private constructor(
		private readonly _context: EntryContext,
		private readonly _flow: RequestFlow,
	) {}

	onConfigAdvanced(now: number): void {
		this._context.router.updateConfig(now);
		const {version} = this._context.view();
		for (const state of this._context.requests.all()) {
			if (state.phase === 'awaitingConfig') {
				if (version >= state.awaitedVersion) {
					this._flow.proceed(state, now);
				}
			} else if (state.phase !== 'answering') {
				this._refuseIfKeyWithdrawn(state);
			}
		}
	}

	onCallerGone(requestId: string): void {
		const state = this._context.requests.request(requestId);
		if (state === undefined || state.isAnswered) {
			return;
		}

		state.isAnswered = true;
		if (state.phase === 'reserving' || state.phase === 'claiming') {
			return;
		}

		// A non-repeatable call keeps running, so that its outcome is recorded for the next call with the same key.
		if (state.hasClaim && state.attempt !== undefined) {
			if (state.phase === 'answering') {
				collectAnswer(this._context, state.id, state.attempt.id);
			}

			return;
		}

		this._flow.cancelAttempt(state);
		this._flow.endWithRefusal(
			state,
			refuseRetryable(this._context, 'cancelled', 'accept'),
		);
	}

	onWake(state: RequestState, now: number): void {
		if (state.phase === 'answering') {
			return;
		}

		if (now >= state.request.deadlineAt) {
			this._onDeadline(state);
		} else if (state.phase === 'awaitingConfig') {
			this._flow.endWithRefusal(
				state,
				state.lastRefusal ??
					refuseRetryable(this._context, 'configuration_behind', 'authorize'),
			);
		}
	}

	/** Refuses a waiting request whose key was withdrawn. A non-repeatable call that may already run continues. */
	private _refuseIfKeyWithdrawn(state: RequestState): void {
		const {entryId, view} = this._context;
		const {credential} = state.request;
		const isOpen = state.admission?.keyId === undefined;
		if (state.isAnswered || isOpen || isKeyValid(credential, view())) {
			return;
		}

		const details = {step: 'authorize', peer: entryId} as const;
		if (state.phase === 'reserving' || state.phase === 'claiming') {
			this._flow.answerWithRefusal(
				state,
				refuseNotRun('unauthorized', details),
			);
		} else if (state.attempt === undefined) {
			this._flow.endWithRefusal(state, refuseNotRun('unauthorized', details));
		} else if (state.isRepeatable) {
			this._flow.cancelAttempt(state);
			this._flow.endWithRefusal(state, refuseMaybeRun('unauthorized', details));
		}
	}

	private _onDeadline(state: RequestState): void {
		if (state.phase === 'reserving' || state.phase === 'claiming') {
			this._flow.answerWithRefusal(
				state,
				refuseRetryable(this._context, 'deadline_exceeded', 'rate'),
			);
			return;
		}

		if (state.attempt === undefined) {
			this._flow.endWithRefusal(
				state,
				refuseRetryable(this._context, 'deadline_exceeded', 'route'),
			);
			return;
		}

		const details = {
			step: 'dispatch',
			peer: state.attempt.server,
			retryAfterMs: defaultRetryAfterMs,
		} as const;
		if (state.isRepeatable) {
			this._flow.cancelAttempt(state, 'failed');
			this._flow.endWithRefusal(
				state,
				refuseMaybeRun('deadline_exceeded', details),
			);
		} else {
			// The attempt continues, so that its outcome is recorded for the next call with the same key.
			this._flow.answerWithRefusal(
				state,
				refuseMaybeRun('outcome_unknown', details),
			);
		}
	}
}
