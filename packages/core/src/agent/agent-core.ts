import type {ConfigView} from '../config/types.js';
import type {Refusal} from '../refusal/types.js';
import {Admission} from './admission.js';
import {type AgentPolicy, defaultAgentPolicy} from './agent-policy.js';
import {AgentRefusals} from './agent-refusals.js';
import {AttemptRegistry} from './attempt-registry.js';
import {BackendMonitor, type CrashReport} from './backend-monitor.js';
import {attemptRetentionMs} from './constants.js';
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

/** Options of `AgentCore.create`. */
export type AgentCoreOptions = {
	readonly settings: AgentSettings;
	/** Returns the configuration currently in force. */
	readonly config: () => ConfigView;
	readonly policy?: AgentPolicy;
};

/**
 * Decides which requests one backend server runs, queues or refuses, and which adapter versions it loads.
 * The agent is the only process that sends requests and load or unload operations to its backend server.
 */
export class AgentCore {
	static create(options: AgentCoreOptions): AgentCore {
		return new AgentCore(
			options.settings,
			options.config,
			options.policy ?? defaultAgentPolicy,
		);
	}

	private readonly _attempts = AttemptRegistry.create(attemptRetentionMs);
	private readonly _monitor = BackendMonitor.create();
	private readonly _refusals: AgentRefusals;
	private readonly _scheduler: Scheduler;
	private readonly _admission: Admission;

	private _commands: AgentCommand[] = [];
	private _checkedConfigVersion: number;
	private _isHealthCheckPending = false;
	private _isDrainReported = false;

	/** Requests whose connection broke while they ran. The next health check decides which refusal they get. */
	private readonly _lostDispatches: Dispatch[] = [];

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
			monitor: this._monitor,
			scheduler: this._scheduler,
		});
		this._checkedConfigVersion = _config().version;
	}

	/** Processes an event and returns the commands that the caller must execute. */
	handle(event: AgentEvent, now: number): readonly AgentCommand[] {
		this._recheckConfiguration();
		this._apply(event, now);
		this._refuseInfeasible(now);
		this._scheduleWork(now);
		this._requestHealthCheck();
		this._reportDrained();
		const commands = this._commands;
		this._commands = [];
		return commands;
	}

	/** Returns the agent's status, including the state of the named adapter version. */
	status(servedName: string | undefined, _now: number): ServerStatus {
		const {server, zone, incarnation, backend} = this._settings;
		const {window, running, waiting, loader, estimator} = this._scheduler;
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
			expectedWaitMs: Math.ceil(estimator.drainMs()),
			lightWaitMs: Math.ceil(estimator.idleCustomerMs()),
			customerWaitsMs: Object.fromEntries(estimator.customerWaitsMs()),
			adapterState:
				servedName === undefined ? 'absent' : loader.slots.stateOf(servedName),
		};
	}

	/** Returns the time at which the next `tick` is due, or undefined if no timer is pending. */
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
				this._monitor.learnQuarantine(fingerprint, forMs, now);
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
		if (!this._attempts.register(attemptId, now)) {
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

		const request = this._scheduler.createRequest(dispatch, now);
		const refusal = this._admission.checkNew(request, now);
		if (refusal) {
			this._refuse(dispatch, refusal);
			return;
		}

		const dropped = this._scheduler.add(request);
		if (dropped) {
			const retryAfterMs = this._scheduler.estimator.drainMs();
			this._refuse(dropped.dispatch, this._refusals.overloaded(retryAfterMs));
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
		const {change, report} = this._monitor.onHealth(
			health,
			running.fingerprints(),
			now,
		);
		this._isHealthCheckPending = false;
		if (change === 'restarted') {
			loader.onRestart();
		}

		if (change !== 'same') {
			window.onRestart();
		}

		this._scheduler.onHealth(askedAt);
		loader.reconcile(health.loadedAdapters, askedAt);
		this._reportCrash(report, now);
		this._refuseLostDispatches(change === 'same');
	}

	private _onUnreachable(now: number): void {
		const report = this._monitor.onUnreachable(now);
		this._isHealthCheckPending = false;
		this._scheduler.window.onPossibleRestart();
		this._reportCrash(report, now);
		this._refuseLostDispatches(false);
		if (!this._monitor.isUp) {
			this._refuseWaiting(() => this._refusals.backendDown());
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
		const backoffMs = loader.remainingBackoffMs(failed.servedName, now);
		this._refuseWaiting(({servedName}) =>
			backoffMs > 0 && servedName === failed.servedName
				? this._refusals.loadFailed(backoffMs)
				: undefined,
		);
	}

	private _onFailed(attemptId: string, fault: BackendFault, now: number): void {
		const failed = this._scheduler.takeFailed(attemptId, fault, now);
		if (!failed || failed.isCancelled) {
			return;
		}

		const {dispatch} = failed.request;
		this._monitor.onFault(fault, dispatch.fingerprint);
		if (fault === 'connection_lost' && this._monitor.isUp) {
			this._lostDispatches.push(dispatch);
		} else {
			this._refuse(dispatch, this._refusals.fromFault(fault));
		}
	}

	/** Refuses the requests whose connection broke, once a health check shows whether the backend server is alive. */
	private _refuseLostDispatches(isAlive: boolean): void {
		for (const dispatch of this._lostDispatches.splice(0)) {
			const refusal = isAlive
				? this._refusals.answerCut()
				: this._refusals.fromFault('connection_lost');
			this._refuse(dispatch, refusal);
		}
	}

	/** Refuses waiting requests that a newer configuration no longer allows. */
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
		const configRefusal = this._admission.checkConfiguration(dispatch);
		if (configRefusal) {
			this._refuse(dispatch, configRefusal.refusal, configRefusal.changesAfter);
		}

		return configRefusal !== undefined;
	}

	private _refuseQuarantined(now: number): void {
		this._refuseWaiting(({dispatch}) => {
			const forMs = this._monitor.remainingQuarantineMs(
				dispatch.fingerprint,
				now,
			);
			return forMs > 0 ? this._refusals.quarantined(forMs) : undefined;
		});
	}

	private _refuseInfeasible(now: number): void {
		for (const {request, retryAfterMs} of this._scheduler.takeInfeasible(now)) {
			const refusal =
				request.deadlineAt <= now
					? this._refusals.deadlineExceeded(retryAfterMs)
					: this._refusals.deadlineUnreachable(retryAfterMs);
			this._refuse(request.dispatch, refusal);
		}
	}

	/** Refuses each waiting request for which `refusalOf` returns a refusal. */
	private _refuseWaiting(
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

	/** Starts requests and plans adapter operations, unless the backend server may be down. */
	private _scheduleWork(now: number): void {
		if (!this._monitor.isUp || this._monitor.isUnconfirmed) {
			this._scheduler.loader.pause();
			return;
		}

		this._commands.push(
			...this._scheduler.startReady(now),
			...this._scheduler.planAdapters(now),
		);
	}

	/** Requests an early health check if it would let waiting requests start or the backend server may be down. */
	private _requestHealthCheck(): void {
		const {waiting, running, window} = this._scheduler;
		const isBlocked =
			waiting.size > 0 &&
			running.size >= window.limit() &&
			window.needsHealthReport();
		if (
			(isBlocked || this._monitor.isUnconfirmed) &&
			!this._isHealthCheckPending
		) {
			this._isHealthCheckPending = true;
			this._commands.push({type: 'checkHealth'});
		}
	}

	private _reportDrained(): void {
		const {waiting, running} = this._scheduler;
		const isDrained =
			this._admission.isShuttingDown &&
			waiting.size === 0 &&
			running.size === 0 &&
			this._lostDispatches.length === 0;
		if (isDrained && !this._isDrainReported) {
			this._isDrainReported = true;
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
