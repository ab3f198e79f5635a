import type {Usage} from '../agent/types.js';
import {refuseMaybeRun, refuseNotRun} from '../refusal/refusals.js';
import type {Refusal} from '../refusal/types.js';
import type {DispatchResult} from '../routing/types.js';
import {type Admission, authorize} from './authorize.js';
import {buildDispatch} from './build-dispatch.js';
import {type EntryContext, refuseForNow} from './entry-context.js';
import type {Attempt, RequestState} from './request-state.js';
import {mayTryElsewhere} from './retry-rules.js';
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
		const refusal = this._findObstacle(state, admission, now);
		if (refusal !== undefined) {
			this.giveUp(state, refusal);
		} else if (state.reservedTokens === undefined) {
			this._reserve(state, admission);
		} else if (!admission.resolved.isRepeatable && !state.hasClaim) {
			this._claim(state, admission);
		} else {
			this._dispatch(state, admission, now);
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

	/** Ends the request's attempt in the books of the router. */
	endAttempt(
		state: RequestState,
		result?: DispatchResult,
	): Attempt | undefined {
		const attempt = this._context.requests.endAttempt(state);
		if (attempt !== undefined) {
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

	private _findObstacle(
		state: RequestState,
		admission: Admission,
		now: number,
	): Refusal | undefined {
		const {entryId, router, suspects} = this._context;
		const forMs = suspects.quarantinedForMs(state.request.bodyDigest, now);
		if (forMs > 0) {
			return refuseNotRun('quarantined', {
				step: 'route',
				peer: entryId,
				retryAfterMs: forMs,
			});
		}

		const choice = router.choose(this._query(state, admission, now), now);
		switch (choice.kind) {
			case 'server': {
				return undefined;
			}

			case 'tooLate': {
				return refuseNotRun('deadline_unreachable', {
					step: 'route',
					peer: entryId,
					retryAfterMs: choice.retryAfterMs,
				});
			}

			case 'noServer': {
				return (
					state.lastRefusal ?? refuseForNow(this._context, 'no_server', 'route')
				);
			}
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
		now: number,
	): void {
		const {router, requests, budget, emit, entryId, view} = this._context;
		const choice = router.choose(this._query(state, admission, now), now);
		if (choice.kind !== 'server') {
			return;
		}

		const server = choice.host.id;
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
		});
		router.noteDispatch(subject, server);
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

	private _query(state: RequestState, {resolved}: Admission, now: number) {
		const avoid = state.isSuspect
			? new Set([
					...state.triedServers,
					...this._context.requests.suspectServers(),
				])
			: state.triedServers;
		return {
			subject: resolved.subject,
			backend: resolved.backend,
			avoid,
			timeLeftMs: state.request.deadlineAt - now,
		};
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
