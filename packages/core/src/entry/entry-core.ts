import type {ConfigView} from '../config/types.js';
import {defaultRoutingPolicy} from '../routing/default-routing-policy.js';
import {Router} from '../routing/router.js';
import type {RoutingPolicy} from '../routing/types.js';
import {AttemptEvents} from './attempt-events.js';
import {type EntryContext, refuseRetryable} from './entry-context.js';
import {RequestFlow} from './request-flow.js';
import {RequestState} from './request-state.js';
import {RequestTable} from './request-table.js';
import {RetryBudget} from './retry-budget.js';
import {ServiceEvents} from './service-events.js';
import {SuspectRegistry} from './suspect-registry.js';
import type {EntryCommand, EntryEvent, EntryRequest} from './types.js';
import {WaitingEvents} from './waiting-events.js';
import {WakeQueue} from './wake-queue.js';

/** Options of `EntryCore`. */
export type EntryCoreOptions = {
	readonly entryId: string;
	readonly region: string;
	/** Returns the current configuration. */
	readonly view: () => ConfigView;
	readonly policy?: RoutingPolicy;
	/** Consecutive failures after which routing ranks a server last. */
	readonly failuresUntilSuspected?: number;
	/** Current time in milliseconds. */
	readonly now: number;
};

/** State of the entry for operators. */
export type EntryCoreStats = {
	readonly openRequests: number;
	/** Servers with several consecutive failures. Unrelated to suspect requests. */
	readonly suspectedServers: readonly string[];
	readonly knownServers: number;
	/** Number of adapter versions and services for which routing keeps data. */
	readonly knownSubjects: number;
	/** Stays true once the entry has drained. */
	readonly isShuttingDown: boolean;
};

type EventOf<T extends EntryEvent['type']> = Extract<
	EntryEvent,
	{readonly type: T}
>;

/** Event-driven core of an entry. Keeps one state machine per request and performs no I/O. */
export class EntryCore {
	static create(options: EntryCoreOptions): EntryCore {
		return new EntryCore(options);
	}

	private readonly _context: EntryContext;
	private readonly _flow: RequestFlow;
	private readonly _services: ServiceEvents;
	private readonly _attempts: AttemptEvents;
	private readonly _waiting: WaitingEvents;
	private _commands: EntryCommand[] = [];
	private _isShuttingDown = false;
	private _isDrained = false;

	private constructor(options: EntryCoreOptions) {
		const {entryId, view, now} = options;
		const policy = options.policy ?? defaultRoutingPolicy;
		this._context = {
			entryId,
			view,
			router: Router.create({...options, policy}),
			requests: RequestTable.create(),
			budget: RetryBudget.create(now),
			suspects: SuspectRegistry.create(),
			wakes: WakeQueue.create(),
			emit: command => {
				this._commands.push(command);
			},
		};
		this._flow = RequestFlow.create(this._context);
		this._services = ServiceEvents.create(this._context, this._flow);
		this._attempts = AttemptEvents.create(this._context, this._flow);
		this._waiting = WaitingEvents.create(this._context, this._flow);
	}

	/** Handles one event and returns the commands to execute, in order. */
	handle(event: EntryEvent, now: number): readonly EntryCommand[] {
		this._commands = [];
		this._handleEvent(event, now);
		this._flow.resumeWaitingSuspects(now);
		if (this._isShuttingDown && this._context.requests.size === 0) {
			this._isShuttingDown = false;
			this._isDrained = true;
			this._commands.push({type: 'drained'});
		}

		return this._commands;
	}

	/** Returns the time in milliseconds at which the next `tick` is due, if any. */
	nextWakeAt(): number | undefined {
		const times = [
			this._context.wakes.nextAt,
			this._context.router.nextProbeAt(),
		].filter(at => at !== undefined);
		return times.length === 0 ? undefined : Math.min(...times);
	}

	stats(): EntryCoreStats {
		const {servers, subjects} = this._context.router.sizes();
		return {
			openRequests: this._context.requests.size,
			suspectedServers: [...this._context.router.suspected],
			knownServers: servers,
			knownSubjects: subjects,
			isShuttingDown: this._isShuttingDown || this._isDrained,
		};
	}

	private _handleEvent(event: EntryEvent, now: number): void {
		switch (event.type) {
			case 'requestArrived': {
				this._accept(event.request, now);
				break;
			}

			case 'callerGone': {
				this._waiting.onCallerGone(event.requestId);
				break;
			}

			case 'tokensReserved': {
				this._services.onTokensReserved(event.requestId, now);
				break;
			}

			case 'tokensRefused': {
				this._services.onTokensRefused(event);
				break;
			}

			case 'claimSettled': {
				this._services.onClaimSettled(event, now);
				break;
			}

			case 'dispatchRefused': {
				this._attempts.onDispatchRefused(event, now);
				break;
			}

			case 'dispatchFailed': {
				this._attempts.onDispatchFailed(event, now);
				break;
			}

			case 'answerStarted': {
				this._attempts.onAnswerStarted(event, now);
				break;
			}

			case 'answerCompleted': {
				this._attempts.onAnswerCompleted(event, now);
				break;
			}

			case 'answerCut': {
				this._attempts.onAnswerCut(event, now);
				break;
			}

			case 'configAdvanced': {
				this._waiting.onConfigAdvanced(now);
				break;
			}

			case 'membershipChanged': {
				this._context.router.updateHosts(event.hosts, now);
				break;
			}

			case 'serverProbed': {
				this._onServerProbed(event, now);
				break;
			}

			case 'suspectsReported': {
				this._context.suspects.noteCrash(event.fingerprints, event.bootId, now);
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
		if (this._context.requests.request(request.requestId) !== undefined) {
			return;
		}

		const state = RequestState.create(request);
		this._context.requests.open(state);
		if (this._isShuttingDown || this._isDrained) {
			this._flow.endWithRefusal(
				state,
				refuseRetryable(this._context, 'shutting_down', 'accept'),
			);
			return;
		}

		if (request.deadlineAt <= now) {
			this._flow.endWithRefusal(
				state,
				refuseRetryable(this._context, 'deadline_unreachable', 'accept'),
			);
			return;
		}

		this._context.wakes.add(request.deadlineAt, state.id);
		this._flow.proceed(state, now);
		this._context.wakes.compact(
			id => this._context.requests.request(id) !== undefined,
			this._context.requests.size,
		);
	}

	private _onServerProbed(
		{server, status}: EventOf<'serverProbed'>,
		now: number,
	): void {
		const {router} = this._context;
		if (status !== undefined) {
			router.noteStatus({status}, now);
		}

		if (router.noteProbe(server, status !== undefined)) {
			this._attempts.onServerUnresponsive(server, now);
		}
	}

	private _onTick(now: number): void {
		for (const id of this._context.wakes.takeDue(now)) {
			const state = this._context.requests.request(id);
			if (state !== undefined && !state.isAnswered) {
				this._waiting.onWake(state, now);
			}
		}

		for (const server of this._context.router.takeDueProbes(now)) {
			this._commands.push({type: 'probeServer', server});
		}
	}
}
