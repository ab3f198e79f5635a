import {refuseMaybeRun, refuseNotRun} from '../refusal/refusals.js';
import type {Refusal} from '../refusal/types.js';
import {
	configWaitMs,
	defaultRetryAfterMs,
	maxConfigRetries,
} from './constants.js';
import {collectAnswer, type EntryContext} from './entry-context.js';
import type {RequestFlow} from './request-flow.js';
import type {RequestState} from './request-state.js';
import type {EntryEvent} from './types.js';

type EventOf<T extends EntryEvent['type']> = Extract<
	EntryEvent,
	{readonly type: T}
>;

/** Handles the results of dispatches: refusals, failures, and complete or cut answers. */
export class AttemptEvents {
	static create(context: EntryContext, flow: RequestFlow): AttemptEvents {
		return new AttemptEvents(context, flow);
	}

	private constructor(
		private readonly _context: EntryContext,
		private readonly _flow: RequestFlow,
	) {}

	onDispatchRefused(
		{attemptId, refusal, status, changes}: EventOf<'dispatchRefused'>,
		now: number,
	): void {
		if (changes.length > 0) {
			this._context.emit({type: 'learnChanges', changes});
		}

		const state = this._context.requests.requestOfAttempt(attemptId);
		if (state === undefined) {
			return;
		}

		if (state.phase === 'answering') {
			this._handleCutAnswer(state, now, true);
			return;
		}

		const hasFailed = !refusal.notRun;
		const attempt = this._flow.endAttempt(
			state,
			hasFailed ? 'failed' : 'refused',
		)!;
		if (status !== undefined) {
			this._context.router.noteStatus({status, subject: attempt.subject}, now);
		}

		if (refusal.code === 'configuration_behind' && !state.isAnswered) {
			this._awaitConfig(state, refusal, attempt.configVersion, now);
			return;
		}

		state.isSuspect ||= hasFailed && refusal.code === 'backend_failed';
		this._recordFailedAttempt(state, attempt.server, hasFailed);
		if (hasFailed && refusal.code !== 'answer_cut') {
			state.failedRuns++;
		}

		this._flow.retryElsewhere(state, refusal, now);
	}

	onDispatchFailed(
		{attemptId, fault}: EventOf<'dispatchFailed'>,
		now: number,
	): void {
		const state = this._context.requests.requestOfAttempt(attemptId);
		if (state === undefined) {
			return;
		}

		if (state.phase === 'answering') {
			this._handleCutAnswer(state, now, true);
			return;
		}

		const {server} = this._flow.endAttempt(state, 'failed')!;
		const details = {step: 'dispatch', peer: server} as const;
		if (fault.kind === 'notDelivered') {
			this._recordFailedAttempt(state, server, false);
			const refusal = refuseNotRun('no_server', {
				...details,
				retryAfterMs: defaultRetryAfterMs,
			});
			this._flow.retryElsewhere(state, refusal, now);
			return;
		}

		this._recordFailedAttempt(state, server, true);
		state.failedRuns++;
		const code = fault.kind === 'lost' ? 'backend_failed' : 'answer_mismatch';
		this._flow.retryElsewhere(state, refuseMaybeRun(code, details), now);
	}

	onAnswerStarted(
		{attemptId, status}: EventOf<'answerStarted'>,
		now: number,
	): void {
		const state = this._context.requests.requestOfAttempt(attemptId);
		if (state?.phase !== 'dispatched' || state.attempt === undefined) {
			this._context.emit({type: 'cancelDispatch', attemptId});
			return;
		}

		const {subject, server} = state.attempt;
		this._context.router.noteResult(subject, server, 'succeeded');
		this._context.router.noteStatus({status, subject}, now);
		this._context.router.noteAnswered(server);
		state.phase = 'answering';
		state.mayHaveRun = true;
		if (state.isAnswered) {
			collectAnswer(this._context, state.id, attemptId);
		} else {
			this._context.emit({
				type: 'relayAnswer',
				requestId: state.id,
				attemptId,
			});
		}
	}

	onAnswerCompleted(
		{attemptId, usage, outcome}: EventOf<'answerCompleted'>,
		now: number,
	): void {
		const state = this._context.requests.requestOfAttempt(attemptId);
		if (state === undefined) {
			return;
		}

		if (state.phase !== 'answering') {
			// Without `answerStarted`, this can't be the complete answer.
			const fault = {kind: 'mismatched'} as const;
			this.onDispatchFailed({type: 'dispatchFailed', attemptId, fault}, now);
			return;
		}

		const attempt = this._flow.endAttempt(state)!;
		this._flow.finish(state, attempt, usage, outcome);
	}

	onAnswerCut(
		{attemptId, hasReachedCaller}: EventOf<'answerCut'>,
		now: number,
	): void {
		const state = this._context.requests.requestOfAttempt(attemptId);
		if (state !== undefined) {
			this._handleCutAnswer(state, now, hasReachedCaller);
		}
	}

	/** Retries repeatable requests on other servers when a server sends no answers and misses its probes. */
	onServerUnresponsive(server: string, now: number): void {
		for (const state of this._context.requests.all()) {
			const isWaiting =
				state.phase === 'dispatched' && state.attempt?.server === server;
			if (isWaiting && state.isRepeatable && !state.isAnswered) {
				this._flow.cancelAttempt(state);
				this._recordFailedAttempt(state, server, true);
				state.failedRuns++;
				const details = {step: 'dispatch', peer: server} as const;
				const refusal = refuseMaybeRun('backend_failed', details);
				this._flow.retryElsewhere(state, refusal, now);
			}
		}
	}

	/** Handles an answer that broke off. The request is retried only if no byte has reached the caller. */
	private _handleCutAnswer(
		state: RequestState,
		now: number,
		hasReachedCaller: boolean,
	): void {
		const {server} = this._flow.endAttempt(state, 'failed')!;
		this._recordFailedAttempt(state, server, true);
		const refusal = refuseMaybeRun('answer_cut', {
			step: 'answer',
			peer: server,
		});
		if (hasReachedCaller) {
			this._flow.cutAnswer(state, refusal);
		} else {
			this._flow.retryElsewhere(state, refusal, now);
		}
	}

	/** Handles an agent with a newer configuration: retries once the entry has it too, within `configWaitMs`. */
	private _awaitConfig(
		state: RequestState,
		refusal: Refusal,
		attemptVersion: number,
		now: number,
	): void {
		state.configRetries++;
		state.lastRefusal = refusal;
		if (state.configRetries > maxConfigRetries) {
			this._flow.endWithRefusal(state, refusal);
		} else if (this._context.view().version > attemptVersion) {
			this._flow.proceed(state, now);
		} else {
			state.phase = 'awaitingConfig';
			state.awaitedVersion = attemptVersion + 1;
			this._context.wakes.add(now + configWaitMs, state.id);
		}
	}

	/** Excludes the server from retries of the request. */
	private _recordFailedAttempt(
		state: RequestState,
		server: string,
		mayHaveRun: boolean,
	): void {
		state.phase = 'deciding';
		state.triedServers.add(server);
		if (mayHaveRun) {
			state.mayHaveRun = true;
		}
	}
}
