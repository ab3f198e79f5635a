import type {Usage} from '../agent/types.js';
import {refuseMaybeRun, refuseNotRun} from '../refusal/refusals.js';
import type {Refusal} from '../refusal/types.js';
import type {DispatchResult} from '../routing/types.js';
import {type Admission, authorize} from './authorize.js';
import {buildDispatch} from './build-dispatch.js';
import {type EntryContext, refuseForNow} from './entry-context.js';
import type {Attempt, RequestState} from './request-state.js';
import {mayTryElsewhere} from './retry-rules.js';
import {routeRequest} from './route-step.js';
import {settleClaim, settleTokens} from './settlement.js';
import type {RecordedOutcome} from './types.js';

/** Takes one request from step to step: authorize, reserve, claim, route, dispatch, and to its one final outcome. */
export class RequestFlow {
	static create(context: EntryContext): RequestFlow {
		return new RequestFlow(context);
	}

	private constructor(private readonly _context: EntryContext) {}

	/** Does the next step of a request. Each step is decided under the present configuration. */
	proceed(state: RequestState, now: number): void {
		const {view, entryId} = this._context;
		const authorization = authorize(state.request, view(), entryId);
		if (authorization.kind === 'refused') {
			this.giveUp(state, authorization.refusal);
			return;
		}

		const {admission} = authorization;
		state.account ??= admission.customer.name;
		if (state.account !== admission.customer.name) {
			this.giveUp(
				state,
				refuseForNow(this._context, 'configuration_behind', 'authorize'),
			);
			return;
		}

		state.admission = admission;
		const decision = routeRequest(this._context, state, admission, now);
		if (decision.kind === 'refused') {
			this.giveUp(state, decision.refusal);
		} else if (state.reservedTokens === undefined) {
			this._reserve(state, admission);
		} else if (!admission.resolved.isRepeatable && !state.hasClaim) {
			this._claim(state, admission);
		} else if (decision.kind === 'wait') {
			state.phase = 'awaitingServer';
			this._context.requests.waiting.add(state);
		} else {
			this._dispatch(state, admission, decision.host.id, now);
		}
	}

	/** After an attempt that failed: another server, or the final refusal. */
	retryElsewhere(state: RequestState, refusal: Refusal, now: number): void {
		state.lastRefusal = refusal;
		if (
			!state.isAnswered &&
			mayTryElsewhere(state, refusal.code) &&
			this._context.budget.tryTake(now)
		) {
			this.proceed(state, now);
		} else {
			this.giveUp(state, this._finalRefusal(state, refusal));
		}
	}

	/** Ends a request without a whole answer. */
	giveUp(state: RequestState, refusal: Refusal): void {
		const final = {...refusal, notRun: refusal.notRun && !state.mayHaveRun};
		this.answerWithRefusal(state, final);
		this._settle(state, {kind: 'refused', refusal: final});
	}

	/** Tells the caller the final refusal. Tokens and claim stay open. */
	answerWithRefusal(state: RequestState, refusal: Refusal): void {
		if (!state.isAnswered) {
			state.isAnswered = true;
			this._context.emit({type: 'refuse', requestId: state.id, refusal});
		}
	}

	/** Part of the answer reached the caller and no more will. */
	cutAnswer(state: RequestState, refusal: Refusal): void {
		if (!state.isAnswered) {
			state.isAnswered = true;
			this._context.emit({type: 'cutAnswer', requestId: state.id, refusal});
		}

		this._settle(state, {kind: 'refused', refusal});
	}

	/** The recorded outcome of an earlier call answers this one. */
	replay(state: RequestState, outcome: RecordedOutcome): void {
		if (!state.isAnswered) {
			state.isAnswered = true;
			this._context.emit({type: 'replayOutcome', requestId: state.id, outcome});
		}

		this._settle(state, outcome);
	}

	/** The whole answer is here. */
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

		this._settle(state, outcome ?? this._unrecordable(), usage);
	}

	/** Lets suspects that wait for a server have their turn, as far as there are servers for them. */
	resumeWaiting(now: number): void {
		const {waiting} = this._context.requests;
		for (const state of waiting) {
			waiting.delete(state);
			state.phase = 'deciding';
			this.proceed(state, now);
			if (waiting.has(state)) {
				return;
			}
		}
	}

	/** Ends the request's attempt in the books of the router. */
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

	/** Stops the request's attempt, if one is under way. */
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

	/** What the caller is told when a call that may not be repeated may have run. */
	private _finalRefusal(state: RequestState, refusal: Refusal): Refusal {
		return state.mayRunAgain
			? refusal
			: refuseMaybeRun('outcome_unknown', {
					step: refusal.step,
					peer: refusal.peer,
				});
	}

	private _unrecordable(): RecordedOutcome {
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
