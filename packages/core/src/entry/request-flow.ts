import type {Usage} from '../agent/types.js';
import {refuseMaybeRun, refuseNotRun} from '../refusal/refusals.js';
import type {Refusal} from '../refusal/types.js';
import type {DispatchResult} from '../routing/types.js';
import {type Admission, authorize} from './authorize.js';
import {buildDispatch} from './build-dispatch.js';
import {type EntryContext, refuseRetryable} from './entry-context.js';
import type {Attempt, RequestState} from './request-state.js';
import {canRetryElsewhere} from './retry-rules.js';
import {routeRequest} from './route-step.js';
import {settleClaim, settleTokens} from './settlement.js';
import type {RecordedOutcome} from './types.js';

/**
 * Advances a request through its steps: authorize, route, reserve tokens, claim the idempotency key, dispatch.
 * Each request ends with exactly one final outcome.
 */
export class RequestFlow {
	static create(context: EntryContext): RequestFlow {
		return new RequestFlow(context);
	}

	private constructor(private readonly _context: EntryContext) {}

	/** Performs the next step of a request. Each step authorizes and routes again under the current configuration. */
	proceed(state: RequestState, now: number): void {
		const {view, entryId} = this._context;
		const authorization = authorize(state.request, view(), entryId);
		if (authorization.kind === 'refused') {
			this.endWithRefusal(state, authorization.refusal);
			return;
		}

		const {admission} = authorization;
		state.billedCustomer ??= admission.customer.name;
		if (state.billedCustomer !== admission.customer.name) {
			this.endWithRefusal(
				state,
				refuseRetryable(this._context, 'configuration_behind', 'authorize'),
			);
			return;
		}

		state.admission = admission;
		const decision = routeRequest(this._context, state, admission, now);
		if (decision.kind === 'refused') {
			this.endWithRefusal(state, decision.refusal);
		} else if (state.reservedTokens === undefined) {
			this._reserve(state, admission);
		} else if (!admission.resolved.isRepeatable && !state.hasClaim) {
			this._claim(state, admission);
		} else if (decision.kind === 'wait') {
			state.phase = 'awaitingServer';
			this._context.requests.waitingSuspects.add(state);
		} else {
			this._dispatch(state, admission, decision.host.id, now);
		}
	}

	/** Retries a failed attempt on another server if the retry rules and budget allow it, else refuses the request. */
	retryElsewhere(state: RequestState, refusal: Refusal, now: number): void {
		state.lastRefusal = refusal;
		if (
			!state.isAnswered &&
			canRetryElsewhere(state, refusal.code) &&
			this._context.budget.tryTake(now)
		) {
			this.proceed(state, now);
		} else {
			this.endWithRefusal(state, this._finalRefusal(state, refusal));
		}
	}

	/** Refuses the request and settles its tokens and claim. */
	endWithRefusal(state: RequestState, refusal: Refusal): void {
		const final = {...refusal, notRun: refusal.notRun && !state.mayHaveRun};
		this.answerWithRefusal(state, final);
		this._settle(state, {kind: 'refused', refusal: final});
	}

	/** Sends the final refusal to the caller. Tokens and claim stay open. */
	answerWithRefusal(state: RequestState, refusal: Refusal): void {
		if (!state.isAnswered) {
			state.isAnswered = true;
			this._context.emit({type: 'refuse', requestId: state.id, refusal});
		}
	}

	/** Ends an answer that the caller has received only in part. */
	cutAnswer(state: RequestState, refusal: Refusal): void {
		if (!state.isAnswered) {
			state.isAnswered = true;
			this._context.emit({type: 'cutAnswer', requestId: state.id, refusal});
		}

		this._settle(state, {kind: 'refused', refusal});
	}

	/** Answers the request with the recorded outcome of an earlier call with the same idempotency key. */
	replay(state: RequestState, outcome: RecordedOutcome): void {
		if (!state.isAnswered) {
			state.isAnswered = true;
			this._context.emit({type: 'replayOutcome', requestId: state.id, outcome});
		}

		this._settle(state, outcome);
	}

	/** Ends a request whose answer is complete. */
	finish(
		state: RequestState,
		attempt: Attempt,
		usage: Usage,
		outcome: RecordedOutcome | undefined,
	): void {
		if (!state.isAnswered) {
			state.isAnswered = true;
			this._context.emit({
				type: 'finishAnswer',
				requestId: state.id,
				attemptId: attempt.id,
			});
		}

		this._settle(state, outcome ?? this._unrecordedOutcome(), usage);
	}

	/** Dispatches waiting suspects in order of arrival until one finds no free server. */
	resumeWaitingSuspects(now: number): void {
		const {waitingSuspects: waiting} = this._context.requests;
		for (const state of waiting) {
			waiting.delete(state);
			state.phase = 'deciding';
			this.proceed(state, now);
			if (waiting.has(state)) {
				return;
			}
		}
	}

	/** Ends the request's attempt, if any, and reports its end and result to the router. */
	endAttempt(
		state: RequestState,
		result?: DispatchResult,
	): Attempt | undefined {
		const attempt = this._context.requests.endAttempt(state);
		if (attempt !== undefined) {
			if (state.phase === 'dispatched') {
				this._context.router.noteAnswered(attempt.server);
			}

			this._context.router.noteEnd(attempt.subject, attempt.server);
			if (result !== undefined) {
				this._context.router.noteResult(
					attempt.subject,
					attempt.server,
					result,
				);
			}
		}

		return attempt;
	}

	/** Cancels the request's attempt, if one is in flight. */
	cancelAttempt(state: RequestState, result?: DispatchResult): void {
		const attempt = this.endAttempt(state, result);
		if (attempt !== undefined) {
			state.mayHaveRun = true;
			this._context.emit({type: 'cancelDispatch', attemptId: attempt.id});
		}
	}

	private _reserve(state: RequestState, {resolved, customer}: Admission): void {
		state.phase = 'reserving';
		state.reservedTokens = resolved.promptTokens + resolved.maxTokens;
		this._context.emit({
			type: 'reserveTokens',
			requestId: state.id,
			customer: customer.name,
			tokens: state.reservedTokens,
		});
	}

	private _claim(state: RequestState, {customer}: Admission): void {
		state.phase = 'claiming';
		this._context.emit({
			type: 'claim',
			requestId: state.id,
			customer: customer.name,
			idempotencyKey: state.request.idempotencyKey!,
			bodyDigest: state.request.bodyDigest,
		});
	}

	private _dispatch(
		state: RequestState,
		admission: Admission,
		server: string,
		now: number,
	): void {
		const {router, requests, budget, emit, entryId, view} = this._context;
		const {subject} = admission.resolved;
		const attemptId = `${state.id}.${state.attempts + 1}`;
		const configVersion = view().version;
		if (state.attempts === 0) {
			budget.noteFirstDispatch();
		}

		state.phase = 'dispatched';
		requests.startAttempt(state, {
			id: attemptId,
			server,
			subject,
			configVersion,
			isSuspect: state.isSuspect,
		});
		router.noteDispatch(subject, server, now);
		emit({
			type: 'dispatch',
			requestId: state.id,
			server,
			dispatch: buildDispatch(state.request, admission, {
				attemptId,
				entryId,
				configVersion,
				now,
			}),
		});
	}

	/** Replaces the refusal with `outcome_unknown` if the call is not repeatable and may have run. */
	private _finalRefusal(state: RequestState, refusal: Refusal): Refusal {
		return state.canRunAgain
			? refusal
			: refuseMaybeRun('outcome_unknown', {
					step: refusal.step,
					peer: refusal.peer,
				});
	}

	/** Outcome of a completed call whose answer was not kept. */
	private _unrecordedOutcome(): RecordedOutcome {
		return {
			kind: 'refused',
			refusal: refuseMaybeRun('outcome_unknown', {
				step: 'answer',
				peer: this._context.entryId,
				message: 'The call ran; its answer was not recorded.',
			}),
		};
	}

	private _settle(
		state: RequestState,
		outcome: RecordedOutcome,
		usage?: Usage,
	): void {
		for (const command of [
			...settleTokens(state, usage),
			...settleClaim(state, outcome),
		]) {
			this._context.emit(command);
		}

		this._context.requests.close(state);
	}
}
