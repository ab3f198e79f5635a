import type {ConfigView} from '../config/types.js';
import type {Refusal} from '../refusal/types.js';
import {Admission} from './admission.js';
import {type AgentPolicy, defaultAgentPolicy} from './agent-policy.js';
import {AgentRefusals} from './agent-refusals.js';
import {AttemptRegistry} from './attempt-registry.js';
import {attemptMemoryMs} from './constants.js';
import {type CrashReport, CrashWatch} from './crash-watch.js';
import type {QueuedRequest} from './request-queue.js';
import {Scheduler} from './scheduler.js';
import type {
	AgentCommand,
	AgentEvent,
	AgentSettings,
	BackendFault,
	BackendHealth,
	Dispatch,
	ServerStatus,
} from './types.js';

/** What an agent's decisions are created from. */
export type AgentCoreOptions = {
	readonly settings: AgentSettings;
	/** The configuration that is in force at present. */
	readonly config: () => ConfigView;
	readonly policy?: AgentPolicy;
};

/**
 * Decides everything that one backend server does: what runs, waits or is refused, and which adapter
 * versions are loaded. The agent is the only process that gives its backend server work or orders.
 */
export class AgentCore {
	static create(options: AgentCoreOptions): AgentCore {
		return new AgentCore(
			options.settings,
			options.config,
			options.policy ?? defaultAgentPolicy,
		);
	}

	private readonly _attempts = AttemptRegistry.create(attemptMemoryMs);
	private readonly _crashes = CrashWatch.create();
	private readonly _refusals: AgentRefusals;
	private readonly _scheduler: Scheduler;
	private readonly _admission: Admission;

	private _commands: AgentCommand[] = [];
	private _checkedConfigVersion: number;
	private _isHealthAsked = false;
	private _isDrainedTold = false;

	/** Requests whose connection broke while they ran. They are refused with the next health report. */
	private readonly _lostAnswers: Dispatch[] = [];

	private constructor(
		private readonly _settings: AgentSettings,
		private readonly _config: () => ConfigView,
		policy: AgentPolicy,
	) {
		this._refusals = AgentRefusals.create(_settings.server);
		this._scheduler = Scheduler.create(_settings, policy);
		this._admission = Admission.create({
			settings: _settings,
			config: _config,
			refusals: this._refusals,
			crashes: this._crashes,
			scheduler: this._scheduler,
		});
		this._checkedConfigVersion = _config().version;
	}

	/** Takes in what happened and returns what is to be done. */
	handle(event: AgentEvent, now: number): readonly AgentCommand[] {
		this._recheckConfiguration();
		this._apply(event, now);
		this._giveUpHopeless(now);
		this._giveWork(now);
		this._askForHealth();
		this._tellDrained();
		const commands = this._commands;
		this._commands = [];
		return commands;
	}

	/** What the agent says of itself and of one adapter version. */
	status(servedName: string | undefined, _now: number): ServerStatus {
		const {server, zone, incarnation, backend} = this._settings;
		const {window, running, waiting, loader, estimate} = this._scheduler;
		return {
			server,
			zone,
			incarnation,
			configVersion: this._config().version,
			backend,
			isAcceptingWork: this._admission.isOpen,
			running: running.size,
			queued: waiting.size,
			window: window.capacity(),
			expectedWaitMs: Math.ceil(estimate.drainMs()),
			lightWaitMs: Math.ceil(estimate.lightMs()),
			customerWaitsMs: Object.fromEntries(estimate.customersMs()),
			adapterState:
				servedName === undefined ? 'absent' : loader.slots.stateOf(servedName),
		};
	}

	/** Time at which `tick` is due, or undefined where nothing waits for its time. */
	nextWakeAt(): number | undefined {
		return this._scheduler.nextWakeAt();
	}

	private _apply(event: AgentEvent, now: number): void {
		const {loader, running} = this._scheduler;
		switch (event.type) {
			case 'dispatchArrived': {
				this._admit(event.dispatch, now);
				break;
			}

			case 'dispatchCancelled': {
				this._cancel(event.attemptId);
				break;
			}

			case 'backendHealthy': {
				this._onHealth(event.health, event.askedAt, now);
				break;
			}

			case 'backendUnreachable': {
				this._onUnreachable(now);
				break;
			}

			case 'loadCompleted': {
				loader.onLoadCompleted(event.loadId, now);
				break;
			}

			case 'loadFailed': {
				this._onLoadFailed(event.loadId, now);
				break;
			}

			case 'unloadCompleted': {
				loader.onUnloadCompleted(event.loadId, now);
				break;
			}

			case 'unloadFailed': {
				loader.onUnloadFailed(event.loadId, now);
				break;
			}

			case 'tokensGenerated': {
				running.addTokens(event.attemptId, event.tokens);
				break;
			}

			case 'answerCompleted': {
				this._scheduler.onCompleted(event.attemptId, event.usage, now);
				break;
			}

			case 'answerFailed': {
				this._onFailed(event.attemptId, event.fault, now);
				break;
			}

			case 'quarantineLearned': {
				const {fingerprint, forMs} = event;
				this._crashes.learnQuarantine(fingerprint, forMs, now);
				this._refuseQuarantined(now);
				break;
			}

			case 'hostStateChanged': {
				this._admission.setHostLeaving(event.isLeaving);
				this._recheckWaiting();
				break;
			}

			case 'shutdownRequested': {
				this._admission.shutDown();
				break;
			}

			case 'configAdvanced':
			case 'tick': {
				break;
			}
		}
	}

	private _admit(dispatch: Dispatch, now: number): void {
		const {attemptId} = dispatch;
		if (!this._attempts.admit(attemptId, now)) {
			const refusal = this._refusals.repeatedAttempt();
			this._commands.push({
				type: 'refuse',
				attemptId,
				refusal,
				isRepetition: true,
			});
			return;
		}

		if (this._refuseByConfiguration(dispatch)) {
			return;
		}

		const request = this._scheduler.requestOf(dispatch, now);
		const refusal = this._admission.checkNew(request, now);
		if (refusal) {
			this._refuse(dispatch, refusal);
			return;
		}

		const drop = this._scheduler.add(request);
		if (drop) {
			const retryAfterMs = this._scheduler.estimate.drainMs();
			this._refuse(drop.dispatch, this._refusals.overloaded(retryAfterMs));
		}
	}

	private _cancel(attemptId: string): void {
		const {waiting, running} = this._scheduler;
		const request = waiting.get(attemptId);
		if (request) {
			waiting.remove(request);
		} else if (running.cancel(attemptId)) {
			this._commands.push({type: 'cancelOnBackend', attemptId});
		}
	}

	private _onHealth(health: BackendHealth, askedAt: number, now: number): void {
		const {loader, window, running} = this._scheduler;
		const {change, report} = this._crashes.onHealth(
			health,
			running.fingerprints(),
			now,
		);
		this._isHealthAsked = false;
		if (change === 'restarted') {
			loader.onRestart();
		}

		if (change !== 'same') {
			window.onRestart();
		}

		this._scheduler.onHealth(askedAt);
		loader.reconcile(health.loadedAdapters, askedAt);
		this._reportCrash(report, now);
		this._refuseLostAnswers(change === 'same');
	}

	private _onUnreachable(now: number): void {
		const report = this._crashes.onUnreachable(now);
		this._isHealthAsked = false;
		this._scheduler.window.onSuspicion();
		this._reportCrash(report, now);
		this._refuseLostAnswers(false);
		if (!this._crashes.isUp) {
			this._giveUpWaiting(() => this._refusals.backendDown());
		}
	}

	private _reportCrash(report: CrashReport | undefined, now: number): void {
		if (report) {
			this._commands.push({type: 'reportSuspects', ...report});
			this._refuseQuarantined(now);
		}
	}

	private _onLoadFailed(loadId: string, now: number): void {
		const {loader} = this._scheduler;
		const failed = loader.onLoadFailed(loadId, now);
		if (!failed) {
			return;
		}

		this._commands.push(failed.command);
		const failingMs = loader.failingForMs(failed.servedName, now);
		this._giveUpWaiting(({servedName}) =>
			failingMs > 0 && servedName === failed.servedName
				? this._refusals.loadFailed(failingMs)
				: undefined,
		);
	}

	private _onFailed(attemptId: string, fault: BackendFault, now: number): void {
		const failed = this._scheduler.takeFailed(attemptId, fault, now);
		if (!failed || failed.isCancelled) {
			return;
		}

		const {dispatch} = failed.request;
		this._crashes.onFault(fault, dispatch.fingerprint);
		if (fault === 'connection_lost' && this._crashes.isUp) {
			this._lostAnswers.push(dispatch);
		} else {
			this._refuse(dispatch, this._refusals.ofFault(fault));
		}
	}

	/** Refuses the requests whose connection broke, now that it is known whether the backend server lives. */
	private _refuseLostAnswers(isAlive: boolean): void {
		for (const dispatch of this._lostAnswers.splice(0)) {
			const refusal = isAlive
				? this._refusals.answerCut()
				: this._refusals.ofFault('connection_lost');
			this._refuse(dispatch, refusal);
		}
	}

	/** Refuses waiting requests that a newer configuration speaks against. */
	private _recheckConfiguration(): void {
		const {version} = this._config();
		if (version !== this._checkedConfigVersion) {
			this._checkedConfigVersion = version;
			this._recheckWaiting();
		}
	}

	private _recheckWaiting(): void {
		const {waiting} = this._scheduler;
		for (const request of waiting.all()) {
			if (this._refuseByConfiguration(request.dispatch)) {
				waiting.remove(request);
			}
		}
	}

	private _refuseByConfiguration(dispatch: Dispatch): boolean {
		const found = this._admission.checkConfiguration(dispatch);
		if (found) {
			this._refuse(dispatch, found.refusal, found.changesAfter);
		}

		return found !== undefined;
	}

	private _refuseQuarantined(now: number): void {
		this._giveUpWaiting(({dispatch}) => {
			const forMs = this._crashes.quarantinedForMs(dispatch.fingerprint, now);
			return forMs > 0 ? this._refusals.quarantined(forMs) : undefined;
		});
	}

	private _giveUpHopeless(now: number): void {
		for (const {request, retryAfterMs} of this._scheduler.takeHopeless(now)) {
			const refusal =
				request.deadlineAt <= now
					? this._refusals.deadlineExceeded(retryAfterMs)
					: this._refusals.deadlineUnreachable(retryAfterMs);
			this._refuse(request.dispatch, refusal);
		}
	}

	/** Refuses the waiting requests for which there is a refusal. */
	private _giveUpWaiting(
		refusalOf: (request: QueuedRequest) => Refusal | undefined,
	): void {
		const {waiting} = this._scheduler;
		for (const request of waiting.all()) {
			const refusal = refusalOf(request);
			if (refusal) {
				waiting.remove(request);
				this._refuse(request.dispatch, refusal);
			}
		}
	}

	/** Gives the backend server work and orders, unless it may be down. */
	private _giveWork(now: number): void {
		if (!this._crashes.isUp || this._crashes.isDoubtful) {
			this._scheduler.loader.pause();
			return;
		}

		this._commands.push(
			...this._scheduler.startReady(now),
			...this._scheduler.orderAdapters(now),
		);
	}

	/** Asks for a health report early where requests wait for one. */
	private _askForHealth(): void {
		const {waiting, running, window} = this._scheduler;
		const isBlocked =
			waiting.size > 0 &&
			running.size >= window.limit() &&
			window.wantsHealth();
		if ((isBlocked || this._crashes.isDoubtful) && !this._isHealthAsked) {
			this._isHealthAsked = true;
			this._commands.push({type: 'checkHealth'});
		}
	}

	private _tellDrained(): void {
		const {waiting, running} = this._scheduler;
		const isDrained =
			this._admission.isShuttingDown &&
			waiting.size === 0 &&
			running.size === 0 &&
			this._lostAnswers.length === 0;
		if (isDrained && !this._isDrainedTold) {
			this._isDrainedTold = true;
			this._commands.push({type: 'drained'});
		}
	}

	private _refuse(
		{attemptId}: Dispatch,
		refusal: Refusal,
		changesAfter?: number,
	): void {
		this._commands.push({
			type: 'refuse',
			attemptId,
			refusal,
			...(changesAfter !== undefined && {changesAfter}),
		});
	}
}
