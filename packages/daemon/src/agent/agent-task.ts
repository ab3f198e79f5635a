import {
	AgentCore,
	type AgentCommand,
	type AgentEvent,
	type BackendHealth,
	type Refusal,
	type ServerStatus,
} from '@balsamtray/core';
import type {ProbeRequest} from '@balsamtray/protocol';
import type {FastifyInstance} from 'fastify';
import type {Disposable} from '../common/types.js';
import {BackendClient} from './backend-client.js';
import {BackendWorker} from './backend-worker.js';
import {bufferedBodiesLimitBytes, overloadRetryAfterMs} from './constants.js';
import type {DispatchExchange} from './dispatch-exchange.js';
import {registerDispatchRoute} from './dispatch-route.js';
import {HealthMonitor} from './health-monitor.js';
import {HeldAttempts} from './held-attempts.js';
import type {AgentTaskOptions, CommandOf} from './types.js';

/** Runs `AgentCore`: passes it events and executes the commands that it returns. */
export class AgentTask {
	static create(options: AgentTaskOptions): AgentTask {
		return new AgentTask(options);
	}

	private readonly _core: AgentCore;
	private readonly _client: BackendClient;
	private readonly _health: HealthMonitor;
	private readonly _attempts: HeldAttempts;
	private readonly _worker: BackendWorker;
	private readonly _subscriptions: Disposable[] = [];
	private readonly _drainListeners: Array<() => void> = [];
	private _timer: NodeJS.Timeout | undefined;
	private _isDrained = false;
	private _isStopped = false;
	private _isBackendUp = false;
	private _bootId = '';

	private constructor(private readonly _options: AgentTaskOptions) {
		const {settings, config, backendUrl, fencingToken, telemetry} = _options;
		this._attempts = HeldAttempts.create(telemetry.tracer);
		this._core = AgentCore.create({settings, config: () => config.view()});
		this._client = BackendClient.create({
			backendUrl,
			fencingToken,
			isHealthReportRequired: settings.backend.kind === 'engine',
		});
		this._worker = BackendWorker.create({
			client: this._client,
			attempts: this._attempts,
			telemetry,
			clock: _options.clock,
			status: servedName =>
				this.probe({
					...(servedName !== undefined && {servedName}),
				}),
			onEvent: event => {
				this._handle(event);
			},
		});
		this._health = HealthMonitor.create({
			fetchHealth: async () => this._client.health(),
			clock: _options.clock,
			onHealthy: (health, askedAt) => {
				this._onHealthy(health, askedAt);
			},
			onUnreachable: () => {
				this._onUnreachable();
			},
		});
	}

	/** Starts watching the backend server, the configuration and the list of hosts. */
	async start(): Promise<void> {
		const {config, membership} = this._options;
		this._subscriptions.push(
			config.onAdvanced(() => {
				this._handle({type: 'configAdvanced'});
			}),
			membership.onChanged(() => {
				this._updateHostState();
			}),
		);
		this._updateHostState();
		await this._health.check();
	}

	/** Serves dispatches on the peer port. */
	async register(app: FastifyInstance): Promise<void> {
		await registerDispatchRoute(app, exchange => {
			this._onDispatch(exchange);
		});
	}

	/** Returns the load and state of the backend server, as requested by a peer. */
	probe({servedName}: ProbeRequest): ServerStatus {
		return this._core.status(servedName, this._options.clock());
	}

	/** Quarantines a fingerprint that crashed other backend servers, for the given time in milliseconds. */
	quarantine(fingerprint: string, forMs: number): void {
		this._handle({type: 'quarantineLearned', fingerprint, forMs});
	}

	/** Refuses new work. Resolves once all accepted work has ended. */
	async drain(): Promise<void> {
		this._handle({type: 'shutdownRequested'});
		if (!this._isDrained) {
			await new Promise<void>(resolve => {
				this._drainListeners.push(resolve);
			});
		}
	}

	/** Stops at once. Running calls are aborted and their connections are closed. */
	async stop(): Promise<void> {
		this._isStopped = true;
		clearTimeout(this._timer);
		this._health.stop();
		for (const subscription of this._subscriptions) {
			subscription.dispose();
		}

		for (const {exchange, controller} of this._attempts.all()) {
			controller.abort();
			exchange.abort();
		}

		await this._client.destroy();
	}

	private _onDispatch(exchange: DispatchExchange): void {
		const {dispatch} = exchange;
		const {attemptId, configVersion, entryId} = dispatch;
		const {config, telemetry} = this._options;
		telemetry.metrics.increment('agent.dispatch');
		if (configVersion > config.view().version) {
			config.notePeerVersion(entryId, configVersion);
		}

		const refusal = this._checkAdmission(exchange);
		if (refusal) {
			this._sendRefusal(exchange, refusal);
			return;
		}

		if (!this._attempts.has(attemptId)) {
			this._attempts.add(exchange, this._waitReason(exchange));
			exchange.onAbandoned(() => {
				this._onAbandoned(attemptId);
			});
		}

		this._handle({type: 'dispatchArrived', dispatch}, exchange);
	}

	private _waitReason({dispatch}: DispatchExchange): 'queue' | 'load_wait' {
		const {target} = dispatch;
		const isReady =
			target.kind === 'service' ||
			this.probe({servedName: `${target.adapter}@${target.version}`})
				.adapterState === 'resident';
		return isReady ? 'queue' : 'load_wait';
	}

	/** Returns a refusal for reasons that the core doesn't know: no configuration yet, or too many buffered bodies. */
	private _checkAdmission({body}: DispatchExchange): Refusal | undefined {
		const {config, settings} = this._options;
		const common = {
			notRun: true,
			step: 'admit',
			peer: settings.server,
			retryAfterMs: overloadRetryAfterMs,
		} as const;
		if (!config.isReady()) {
			return {
				...common,
				code: 'configuration_unavailable',
				message: 'The server has not read the configuration yet.',
			};
		}

		return this._attempts.bodyBytes + body.length > bufferedBodiesLimitBytes
			? {
					...common,
					code: 'overloaded',
					message: 'Too much work waits at the backend server.',
				}
			: undefined;
	}

	private _onAbandoned(attemptId: string): void {
		const isRunning = this._attempts.get(attemptId)?.isRunning ?? false;
		this._handle({type: 'dispatchCancelled', attemptId});
		// A running attempt is released once its call to the backend server has stopped.
		if (!isRunning) {
			this._attempts.release(attemptId, 'cancelled');
		}
	}

	private _onHealthy(health: BackendHealth, askedAt: number): void {
		const {logger} = this._options.telemetry;
		if (!this._isBackendUp || this._bootId !== health.bootId) {
			logger.info('backend_up', {bootId: health.bootId});
		}

		this._isBackendUp = true;
		this._bootId = health.bootId;
		this._handle({type: 'backendHealthy', health, askedAt});
		this._reportLoad();
	}

	private _reportLoad(): void {
		const {metrics} = this._options.telemetry;
		const {running, queued, window} = this.probe({});
		metrics.gauge('agent.running', running);
		metrics.gauge('agent.queued', queued);
		metrics.gauge('agent.window', window);
	}

	private _onUnreachable(): void {
		if (this._isBackendUp) {
			this._options.telemetry.logger.warn('backend_down', {
				bootId: this._bootId,
			});
		}

		this._isBackendUp = false;
		this._handle({type: 'backendUnreachable'});
	}

	private _updateHostState(): void {
		const {membership, settings} = this._options;
		const host = membership.hosts().find(({id}) => id === settings.server);
		const isLeaving = host?.state === 'leaving';
		this._handle({type: 'hostStateChanged', isLeaving});
	}

	/** Passes an event to the core and executes the resulting commands. */
	private _handle(
		event: AgentEvent,
		incomingExchange?: DispatchExchange,
	): void {
		if (this._isStopped) {
			return;
		}

		const now = this._options.clock();
		for (const command of this._core.handle(event, now)) {
			this._execute(command, incomingExchange);
		}

		this._scheduleWake();
	}

	private _execute(
		command: AgentCommand,
		incomingExchange?: DispatchExchange,
	): void {
		switch (command.type) {
			case 'runOnBackend': {
				void this._worker.run(command);
				break;
			}

			case 'cancelOnBackend': {
				this._attempts.get(command.attemptId)?.controller.abort();
				break;
			}

			case 'loadAdapter': {
				void this._worker.load(command, this._bootId);
				break;
			}

			case 'unloadAdapter': {
				void this._worker.unload(command);
				break;
			}

			case 'refuse': {
				this._refuse(command, incomingExchange);
				break;
			}

			case 'checkHealth': {
				void this._health.check();
				break;
			}

			case 'reportSuspects': {
				const {fingerprints, bootId} = command;
				const {telemetry, reportSuspects} = this._options;
				telemetry.logger.warn('backend_died', {
					bootId,
					suspects: fingerprints.length,
				});
				reportSuspects(fingerprints, bootId);
				break;
			}

			case 'drained': {
				this._isDrained = true;
				for (const listener of this._drainListeners) {
					listener();
				}

				break;
			}
		}
	}

	private _refuse(
		command: CommandOf<'refuse'>,
		incomingExchange: DispatchExchange | undefined,
	): void {
		const {attemptId, refusal, changesAfter, isRepetition} = command;
		const held = this._attempts.get(attemptId)?.exchange;
		const exchange = isRepetition ? incomingExchange : held;
		if (exchange) {
			this._sendRefusal(exchange, refusal, changesAfter);
		}

		if (exchange === held) {
			this._attempts.release(attemptId, refusal.code);
		}
	}

	private _sendRefusal(
		exchange: DispatchExchange,
		refusal: Refusal,
		changesAfter?: number,
	): void {
		const {config, clock, telemetry} = this._options;
		const changes =
			changesAfter === undefined ? [] : config.changesAfter(changesAfter);
		telemetry.metrics.increment('agent.refused', {code: refusal.code});
		const status = this._core.status(undefined, clock());
		exchange.refuse(refusal, status, changes ?? []);
	}

	private _scheduleWake(): void {
		clearTimeout(this._timer);
		const wakeAt = this._core.nextWakeAt();
		if (wakeAt !== undefined) {
			const delayMs = Math.max(1, wakeAt - this._options.clock());
			this._timer = setTimeout(() => {
				this._handle({type: 'tick'});
			}, delayMs);
		}
	}
}
