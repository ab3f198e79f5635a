import type {ConfigView} from '../config/types.js';
import {refuseMaybeRun, refuseNotRun} from '../refusal/refusals.js';
import type {Refusal, RefusalCode} from '../refusal/types.js';
import {defaultRoutingPolicy} from '../routing/default-routing-policy.js';
import {Router} from '../routing/router.js';
import type {RoutingPolicy} from '../routing/types.js';
import {isKeyValid} from './authorize.js';
import {
	configWaitMs,
	defaultRetryAfterMs,
	maxRedecisions,
} from './constants.js';
import {RequestFlow} from './request-flow.js';
import {RequestState} from './request-state.js';
import {RequestTable} from './request-table.js';
import {RetryBudget} from './retry-budget.js';
import {SuspectRegistry} from './suspect-registry.js';
import type {
	ClaimResult,
	EntryCommand,
	EntryEvent,
	EntryRequest,
} from './types.js';
import {WakeQueue} from './wake-queue.js';

/** What an entry's decisions need. */
export type EntryCoreOptions = {
	readonly entryId: string;
	readonly region: string;
	/** The configuration at the time of the call. */
	readonly view: () => ConfigView;
	readonly policy?: RoutingPolicy;
	readonly now: number;
};

/** Numbers for operators. */
export type EntryCoreStats = {
	readonly openRequests: number;
	readonly suspectedServers: readonly string[];
	readonly knownServers: number;
	readonly knownSubjects: number;
	readonly isShuttingDown: boolean;
};

type EventOf<T extends EntryEvent['type']> = Extract<
	EntryEvent,
	{readonly type: T}
>;

/** All decisions of an entry: one small state machine for each request. */
export class EntryCore {
	static create(options: EntryCoreOptions): EntryCore {
		return new EntryCore(options);
	}

	private readonly _requests = RequestTable.create();
	private readonly _wakes = WakeQueue.create();
	private readonly _suspects = SuspectRegistry.create();
	private readonly _router: Router;
	private readonly _flow: RequestFlow;
	private _commands: EntryCommand[] = [];
	private _isShuttingDown = false;
	private _isDrained = false;

	private constructor(private readonly _options: EntryCoreOptions) {
		const {entryId, region, view, policy, now} = _options;
		this._router = Router.create({
			entryId,
			region,
			view,
			policy: policy ?? defaultRoutingPolicy,
		});
		this._flow = RequestFlow.create({
			entryId,
			view,
			router: this._router,
			requests: this._requests,
			budget: RetryBudget.create(now),
			suspects: this._suspects,
			emit: command => {
				this._commands.push(command);
			},
		});
	}

	/** Takes in one event and returns what has to be done, in order. */
	handle(event: EntryEvent, now: number): readonly EntryCommand[] {
		this._commands = [];
		this._decide(event, now);
		if (this._isShuttingDown && this._requests.size === 0) {
			this._isShuttingDown = false;
			this._isDrained = true;
			this._commands.push({type: 'drained'});
		}

		return this._commands;
	}

	/** Time at which the next `tick` is due, if any. */
	nextWakeAt(): number | undefined {
		const times = [this._wakes.nextAt, this._router.nextProbeAt()].filter(
			at => at !== undefined,
		);
		return times.length === 0 ? undefined : Math.min(...times);
	}

	stats(): EntryCoreStats {
		const {servers, subjects} = this._router.sizes();
		return {
			openRequests: this._requests.size,
			suspectedServers: [...this._router.suspected],
			knownServers: servers,
			knownSubjects: subjects,
			isShuttingDown: this._isShuttingDown || this._isDrained,
		};
	}

	private _decide(event: EntryEvent, now: number): void {
		switch (event.type) {
			case 'requestArrived': {
				this._accept(event.request, now);
				break;
			}

			case 'callerGone': {
				this._forgetCaller(event.requestId);
				break;
			}

			case 'tokensReserved': {
				this._onTokensReserved(event.requestId, now);
				break;
			}

			case 'tokensRefused': {
				this._onTokensRefused(event);
				break;
			}

			case 'claimSettled': {
				this._onClaimSettled(event, now);
				break;
			}

			case 'dispatchRefused': {
				this._onDispatchRefused(event, now);
				break;
			}

			case 'dispatchFailed': {
				this._onDispatchFailed(event, now);
				break;
			}

			case 'answerStarted': {
				this._onAnswerStarted(event, now);
				break;
			}

			case 'answerCompleted': {
				this._onAnswerCompleted(event, now);
				break;
			}

			case 'answerCut': {
				this._onAnswerCut(event, now);
				break;
			}

			case 'configAdvanced': {
				this._onConfigAdvanced(now);
				break;
			}

			case 'membershipChanged': {
				this._router.updateHosts(event.hosts, now);
				break;
			}

			case 'serverProbed': {
				this._onServerProbed(event, now);
				break;
			}

			case 'suspectsReported': {
				this._suspects.noteCrash(event.fingerprints, event.bootId, now);
				break;
			}

			case 'shutdownRequested': {
				this._isShuttingDown = !this._isDrained;
				break;
			}

			case 'tick': {
				this._onTick(now);
				break;
			}
		}
	}

	private _accept(request: EntryRequest, now: number): void {
		if (this._requests.request(request.requestId) !== undefined) {
			return;
		}

		const state = RequestState.create(request);
		this._requests.open(state);
		if (this._isShuttingDown || this._isDrained) {
			this._flow.giveUp(state, this._notRun('shutting_down', 'accept'));
			return;
		}

		if (request.deadlineAt <= now) {
			this._flow.giveUp(state, this._notRun('deadline_unreachable', 'accept'));
			return;
		}

		this._wakes.add(request.deadlineAt, state.id);
		this._flow.proceed(state, now);
		this._wakes.compact(
			id => this._requests.request(id) !== undefined,
			this._requests.size,
		);
	}

	private _forgetCaller(requestId: string): void {
		const state = this._requests.request(requestId);
		if (state === undefined || state.isAnswered) {
			return;
		}

		state.isAnswered = true;
		if (state.phase === 'reserving' || state.phase === 'claiming') {
			return;
		}

		// A call that may not be repeated runs on, so that its outcome is recorded for the next call with its key.
		if (state.hasClaim && state.attempt !== undefined) {
			this._collect(state);
			return;
		}

		this._flow.cancelAttempt(state);
		this._flow.giveUp(state, this._notRun('cancelled', 'accept'));
	}

	private _onTokensReserved(requestId: string, now: number): void {
		const state = this._requests.request(requestId);
		if (state?.phase !== 'reserving') {
			return;
		}

		this._resume(state, now);
	}

	private _onTokensRefused(event: EventOf<'tokensRefused'>): void {
		const state = this._requests.request(event.requestId);
		if (state?.phase !== 'reserving') {
			return;
		}

		state.reservedTokens = undefined;
		const {retryAfterMs} = event;
		const code: RefusalCode =
			retryAfterMs === undefined ? 'exceeds_burst' : 'rate_exceeded';
		this._flow.giveUp(
			state,
			refuseNotRun(code, {
				step: 'rate',
				peer: this._options.entryId,
				retryAfterMs,
			}),
		);
	}

	private _onClaimSettled(event: EventOf<'claimSettled'>, now: number): void {
		const state = this._requests.request(event.requestId);
		if (state?.phase !== 'claiming') {
			return;
		}

		const {result} = event;
		if (result.kind === 'granted') {
			state.hasClaim = true;
			this._resume(state, now);
		} else if (result.kind === 'recorded') {
			this._flow.replay(state, result.outcome);
		} else {
			this._flow.giveUp(state, this._claimRefusal(result));
		}
	}

	/** Goes on with a request whose caller may have its answer already. */
	private _resume(state: RequestState, now: number): void {
		state.phase = 'deciding';
		if (state.isAnswered) {
			this._flow.giveUp(state, this._notRun('cancelled', 'accept'));
		} else {
			this._flow.proceed(state, now);
		}
	}

	private _claimRefusal(
		result: Exclude<ClaimResult, {kind: 'granted' | 'recorded'}>,
	): Refusal {
		const details = {step: 'claim', peer: this._options.entryId} as const;
		switch (result.kind) {
			case 'inProgress': {
				const {retryAfterMs} = result;
				return refuseMaybeRun('in_progress', {...details, retryAfterMs});
			}

			case 'unknownOutcome': {
				return refuseMaybeRun('outcome_unknown', details);
			}

			case 'mismatch': {
				return refuseNotRun('idempotency_mismatch', details);
			}

			case 'unavailable': {
				const {retryAfterMs} = result;
				return refuseNotRun('store_unavailable', {...details, retryAfterMs});
			}
		}
	}

	private _onDispatchRefused(
		{attemptId, refusal, status, changes}: EventOf<'dispatchRefused'>,
		now: number,
	): void {
		if (changes.length > 0) {
			this._commands.push({type: 'learnChanges', changes});
		}

		const state = this._requests.requestOfAttempt(attemptId);
		if (state === undefined) {
			return;
		}

		if (state.phase === 'answering') {
			this._cut(state, now, true);
			return;
		}

		const hasFailed = !refusal.notRun;
		const attempt = this._flow.endAttempt(
			state,
			hasFailed ? 'failed' : 'refused',
		)!;
		if (status !== undefined) {
			this._router.noteStatus({status, subject: attempt.subject}, now);
		}

		if (refusal.code === 'configuration_behind' && !state.isAnswered) {
			this._awaitConfig(state, refusal, attempt.configVersion, now);
			return;
		}

		this._noteFailure(state, attempt.server, hasFailed);
		this._flow.retryElsewhere(state, refusal, now);
	}

	private _awaitConfig(
		state: RequestState,
		refusal: Refusal,
		decidedVersion: number,
		now: number,
	): void {
		state.redecisions++;
		state.lastRefusal = refusal;
		if (state.redecisions > maxRedecisions) {
			this._flow.giveUp(state, refusal);
		} else if (this._options.view().version > decidedVersion) {
			this._flow.proceed(state, now);
		} else {
			state.phase = 'awaitingConfig';
			state.awaitedVersion = decidedVersion + 1;
			this._wakes.add(now + configWaitMs, state.id);
		}
	}

	private _onDispatchFailed(
		{attemptId, fault}: EventOf<'dispatchFailed'>,
		now: number,
	): void {
		const state = this._requests.requestOfAttempt(attemptId);
		if (state === undefined) {
			return;
		}

		if (state.phase === 'answering') {
			this._cut(state, now, true);
			return;
		}

		const {server} = this._flow.endAttempt(state, 'failed')!;
		const details = {step: 'dispatch', peer: server} as const;
		if (fault.kind === 'notDelivered') {
			this._noteFailure(state, server, false);
			const refusal = refuseNotRun('no_server', {
				...details,
				retryAfterMs: defaultRetryAfterMs,
			});
			this._flow.retryElsewhere(state, refusal, now);
			return;
		}

		this._noteFailure(state, server, true);
		const code = fault.kind === 'lost' ? 'backend_failed' : 'answer_mismatch';
		this._flow.retryElsewhere(state, refuseMaybeRun(code, details), now);
	}

	private _onAnswerStarted(
		{attemptId, status}: EventOf<'answerStarted'>,
		now: number,
	): void {
		const state = this._requests.requestOfAttempt(attemptId);
		if (state?.phase !== 'dispatched' || state.attempt === undefined) {
			this._commands.push({type: 'cancelDispatch', attemptId});
			return;
		}

		const {subject, server} = state.attempt;
		this._router.noteResult(subject, server, 'succeeded');
		this._router.noteStatus({status, subject}, now);
		state.phase = 'answering';
		state.mayHaveRun = true;
		if (state.isAnswered) {
			this._collect(state);
		} else {
			this._commands.push({
				type: 'relayAnswer',
				requestId: state.id,
				attemptId,
			});
		}
	}

	private _onAnswerCompleted(
		{attemptId, usage, outcome}: EventOf<'answerCompleted'>,
		now: number,
	): void {
		const state = this._requests.requestOfAttempt(attemptId);
		if (state === undefined) {
			return;
		}

		if (state.phase !== 'answering') {
			// An end without a start can't be the whole answer.
			const fault = {kind: 'mismatched'} as const;
			this._onDispatchFailed({type: 'dispatchFailed', attemptId, fault}, now);
			return;
		}

		const attempt = this._flow.endAttempt(state)!;
		this._flow.finish(state, attempt, usage, outcome);
	}

	private _onAnswerCut(
		{attemptId, hasReachedCaller}: EventOf<'answerCut'>,
		now: number,
	): void {
		const state = this._requests.requestOfAttempt(attemptId);
		if (state !== undefined) {
			this._cut(state, now, hasReachedCaller);
		}
	}

	/** The answer broke off. What did not reach the caller may be done again elsewhere. */
	private _cut(
		state: RequestState,
		now: number,
		hasReachedCaller: boolean,
	): void {
		const {server} = this._flow.endAttempt(state, 'failed')!;
		this._noteFailure(state, server, true);
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

	private _noteFailure(
		state: RequestState,
		server: string,
		mayHaveRun: boolean,
	): void {
		state.phase = 'deciding';
		state.triedServers.add(server);
		if (mayHaveRun) {
			state.mayHaveRun = true;
			state.failedRuns++;
		}
	}

	private _onConfigAdvanced(now: number): void {
		this._router.updateConfig(now);
		const {version} = this._options.view();
		for (const state of this._requests.all()) {
			if (state.phase === 'awaitingConfig') {
				if (version >= state.awaitedVersion) {
					this._flow.proceed(state, now);
				}
			} else if (state.phase !== 'answering') {
				this._refuseWithdrawn(state);
			}
		}
	}

	/** A request that waits when its key is withdrawn is refused. A call that may not be repeated and may run is left. */
	private _refuseWithdrawn(state: RequestState): void {
		const {entryId, view} = this._options;
		const {credential} = state.request;
		const isOpen = state.admission?.keyId === undefined;
		if (state.isAnswered || isOpen || isKeyValid(credential, view())) {
			return;
		}

		const details = {step: 'authorize', peer: entryId} as const;
		if (state.attempt === undefined) {
			this._flow.answerWithRefusal(
				state,
				refuseNotRun('unauthorized', details),
			);
		} else if (state.isRepeatable) {
			this._flow.cancelAttempt(state);
			this._flow.giveUp(state, refuseMaybeRun('unauthorized', details));
		}
	}

	private _onServerProbed(
		{server, status}: EventOf<'serverProbed'>,
		now: number,
	): void {
		this._router.noteProbe(server, status !== undefined, now);
		if (status !== undefined) {
			this._router.noteStatus({status}, now);
		}
	}

	private _onTick(now: number): void {
		for (const id of this._wakes.takeDue(now)) {
			const state = this._requests.request(id);
			if (state !== undefined && !state.isAnswered) {
				this._onWake(state, now);
			}
		}

		for (const server of this._router.takeDueProbes(now)) {
			this._commands.push({type: 'probeServer', server});
		}
	}

	private _onWake(state: RequestState, now: number): void {
		if (state.phase === 'answering') {
			return;
		}

		if (now >= state.request.deadlineAt) {
			this._onDeadline(state);
		} else if (state.phase === 'awaitingConfig') {
			this._flow.giveUp(
				state,
				state.lastRefusal ?? this._notRun('configuration_behind', 'authorize'),
			);
		}
	}

	private _onDeadline(state: RequestState): void {
		if (state.phase === 'reserving' || state.phase === 'claiming') {
			this._flow.answerWithRefusal(
				state,
				this._notRun('deadline_exceeded', 'rate'),
			);
			return;
		}

		if (state.attempt === undefined) {
			this._flow.giveUp(state, this._notRun('deadline_exceeded', 'route'));
			return;
		}

		const details = {
			step: 'dispatch',
			peer: state.attempt.server,
			retryAfterMs: defaultRetryAfterMs,
		} as const;
		if (state.isRepeatable) {
			this._flow.cancelAttempt(state, 'failed');
			this._flow.giveUp(state, refuseMaybeRun('deadline_exceeded', details));
		} else {
			// The attempt goes on, so that its outcome is recorded for the next call with its key.
			this._flow.answerWithRefusal(
				state,
				refuseMaybeRun('outcome_unknown', details),
			);
		}
	}

	private _collect(state: RequestState): void {
		if (state.phase === 'answering') {
			this._commands.push({
				type: 'collectAnswer',
				requestId: state.id,
				attemptId: state.attempt!.id,
			});
		}
	}

	private _notRun(code: RefusalCode, step: Refusal['step']): Refusal {
		return refuseNotRun(code, {
			step,
			peer: this._options.entryId,
			retryAfterMs: defaultRetryAfterMs,
		});
	}
}
