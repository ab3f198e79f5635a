import {performance} from 'node:perf_hooks';
import {
	OrderPlanner,
	PrefillRate,
	PromptPacer,
	TurnQueue,
	type EngineOrder,
	type EngineReport,
	type OrderOutcome,
} from '@balsamtray/core';
import type {DemandMessage, GossipMessage} from '@balsamtray/protocol';
import {AgentTurns} from './agent-turns.js';
import {
	demandIntervalMs,
	demandLifetimeMs,
	idleReportIntervalMs,
	loadingReportIntervalMs,
	reportIntervalMs,
	slowReportIntervalMs,
	unsubscribedReportIntervalMs,
} from './constants.js';
import {DirectMetrics} from './direct-metrics.js';
import {DatagramSocket} from './datagram-socket.js';
import type {EventLog} from './event-log.js';
import {TextServer} from './text-server.js';
import type {AgentSettings, Endpoint, EngineControl} from './types.js';

export type AgentRuntimeOptions = {
	readonly settings: AgentSettings;
	readonly engine: EngineControl;
	readonly log: EventLog;
};

type Subscriber = {
	readonly endpoint: Endpoint;
	readonly lastDemandAt: number;
	/** Whether reports to it carry the wall clock. */
	readonly wantsClock: boolean;
};

/** Runs an agent: sends orders to the local engine and publishes the engine's reports to the entries. */
export class AgentRuntime {
	static create(options: AgentRuntimeOptions): AgentRuntime {
		return new AgentRuntime(options);
	}

	private readonly _planner = OrderPlanner.create();
	private readonly _prefillRate = PrefillRate.create();
	private readonly _pacer = PromptPacer.create(
		performance.now(),
		() => this._prefillRate.tokensPerMs,
	);

	private readonly _turnQueue = TurnQueue.create({
		pacer: this._pacer,
		tokensPerMs: () => this._prefillRate.tokensPerMs,
	});

	private readonly _turns = AgentTurns.create({
		queue: this._turnQueue,
		clock: () => performance.now(),
		send: (message, to) => {
			this._socket?.send(message, to);
		},
		onGranted: waitedMs => {
			this._metrics.noteGrant(waitedMs);
		},
	});

	private readonly _metrics = DirectMetrics.create({
		prefillTokensPerMs: () => this._prefillRate.tokensPerMs,
		loadLimit: () => this._planner.loadLimit,
		waitingPrompts: () => this._turnQueue.size,
	});

	private readonly _subscribers = new Map<string, Subscriber>();
	private _socket: DatagramSocket | undefined;
	private _metricsServer: TextServer | undefined;
	private _server: string | undefined;
	private _report: EngineReport | undefined;
	/** Start time of the engine when it last said that it is leaving; undefined if it did not. */
	private _leavingBorn: number | undefined;
	private _publishedDigest = '';
	private _publishedAt = Number.NEGATIVE_INFINITY;
	private _isEngineLost = false;
	private _engineLostAt = 0;
	private _isCycleRunning = false;
	private _isCyclePending = false;
	private _timer: NodeJS.Timeout | undefined;
	private _isStopped = false;

	private constructor(private readonly _options: AgentRuntimeOptions) {}

	async start(): Promise<void> {
		const {settings, log} = this._options;
		this._socket = await DatagramSocket.open(
			settings.peer,
			(message, from) => {
				this._onMessage(message, from);
			},
			err => {
				log.write({event: 'error', step: 'datagram', error: err.message});
			},
		);
		this._metricsServer = await TextServer.listen(settings.metrics, async () =>
			this._metrics.render(),
		);
		log.write({event: 'started', role: 'agent', isFirstStart: false});
		void this._runCycle();
	}

	/** Stops sending orders and reports. */
	async stop(): Promise<void> {
		this._isStopped = true;
		clearTimeout(this._timer);
		this._turns.dispose();
		this._socket?.dispose();
		this._metricsServer?.dispose();
		this._options.log.write({event: 'stopped', cut: 0, afterMs: 0});
	}

	private _onMessage(message: GossipMessage, from: Endpoint): void {
		const now = performance.now();
		if (message.type === 'demand') {
			this._onDemand(message, from, now);
		}

		if (message.type === 'turnAsk') {
			const {maxPauseMs} = message;
			if (maxPauseMs !== undefined && Number.isFinite(maxPauseMs)) {
				this._pacer.noteMaxPause(maxPauseMs, now);
			}

			this._turns.onAsk(message, from);
		}

		if (message.type === 'leaving' && message.server === this._server) {
			this._onLeaving(message.born);
		}

		if (message.type === 'pace' && message.server === this._server) {
			this._onPace(message.slowdown, now);
		}

		if (message.type === 'turnReturn') {
			this._turns.onReturn(message, from);
		}

		if (message.type === 'turnTaken') {
			this._turns.onTaken(message, from);
		}
	}

	private _onDemand(message: DemandMessage, from: Endpoint, now: number): void {
		const id = `${from.host}:${from.port}`;
		const isSubscribing = message.isSubscribing !== false;
		const isNew = isSubscribing && !this._subscribers.has(id);
		if (isSubscribing) {
			this._subscribers.set(id, {
				endpoint: from,
				lastDemandAt: now,
				wantsClock: message.wantsClock === true,
			});
		}

		this._server = message.server;
		this._planner.noteDemand(message.demand, id, now);
		for (const sample of message.demand.prefills ?? []) {
			const span = this._pacer.slowdownSpan(
				sample.firstEventMs + demandIntervalMs,
				now,
			);
			this._prefillRate.note(sample, now, span);
		}

		if (message.demand.eventMs !== undefined) {
			this._pacer.noteEventSteps(message.demand.eventMs);
		}

		if (isNew) {
			this._sendReport(this._subscribers.get(id)!);
		}

		// A new entry may be the first to say which models the engine should load.
		if (isNew || message.demand.wants.length > 0) {
			void this._runCycle();
		}
	}

	/** An entry saw a response of the engine that says that it is leaving. Its reports need not say so. */
	private _onLeaving(born: number): void {
		// Without a start time, the message may be of an earlier start of the engine.
		if (born === 0 || born <= (this._leavingBorn ?? 0)) {
			return;
		}

		this._leavingBorn = born;
		if (this._report !== undefined) {
			this._report = this._withLeaving(this._report);
			this._publishReport(this._report);
		}
	}

	/** A response of the engine says how long work takes on its host. Its reports need not say so. */
	private _onPace(slowdown: number, now: number): void {
		if (!Number.isFinite(slowdown)) {
			return;
		}

		this._pacer.noteSlowdown(slowdown, now);
		if (this._report !== undefined) {
			this._publishReport(this._report);
		}
	}

	private _withLeaving(report: EngineReport): EngineReport {
		if (report.isLeaving === true) {
			this._leavingBorn = Math.max(this._leavingBorn ?? 0, report.born);
		}

		return report.born <= (this._leavingBorn ?? Number.NEGATIVE_INFINITY)
			? {...report, isLeaving: true}
			: report;
	}

	/**
	 * Reads the engine's report, publishes it and sends the orders that are due, then schedules the next cycle. A call
	 * during a cycle makes that cycle run another step.
	 */
	private async _runCycle(): Promise<void> {
		if (this._isCycleRunning) {
			this._isCyclePending = true;
			return;
		}

		this._isCycleRunning = true;
		clearTimeout(this._timer);
		do {
			this._isCyclePending = false;
			// Each order is planned from a report that is newer than the previous order.
			// eslint-disable-next-line no-await-in-loop
			this._isCyclePending = (await this._runStep()) || this._isCyclePending;
		} while (this._isCyclePending && !this._isStopped);

		this._isCycleRunning = false;
		if (!this._isStopped) {
			this._timer = setTimeout(() => {
				void this._runCycle();
			}, this._nextCycleDelayMs());
		}
	}

	/** Returns whether the engine accepted an order, so its report has changed. */
	private async _runStep(): Promise<boolean> {
		const report = await this._readReport();
		if (report === undefined || this._isStopped) {
			return false;
		}

		this._publishReport(report);
		const order = this._planner.plan(report, performance.now());
		if (order === undefined) {
			return false;
		}

		const outcome = await this._sendOrder(order);
		this._planner.noteOutcome(order, outcome, report.born, performance.now());
		this._metrics.noteOrder(order.operation, outcome);
		this._options.log.write({
			event: 'order',
			operation: order.operation,
			target: `${order.model}/${order.adapter ?? ''}@${order.version ?? ''}`,
			expectedSequence: order.expectedSequence,
			outcome,
		});
		return outcome === 'accepted';
	}

	private async _sendOrder(order: EngineOrder): Promise<OrderOutcome> {
		try {
			return await this._options.engine.order(order, this._server);
		} catch (error) {
			this._options.log.write({
				event: 'error',
				step: 'order',
				error: String(error),
			});
			return 'unknown';
		}
	}

	private async _readReport(): Promise<EngineReport | undefined> {
		const {engine, log} = this._options;
		try {
			const report = this._withLeaving(await engine.report());
			if (this._isEngineLost) {
				this._isEngineLost = false;
				log.write({
					event: 'dependencyRegained',
					dependency: 'engine',
					lostForMs: Math.round(performance.now() - this._engineLostAt),
				});
			}

			if (this._report !== undefined && this._report.born !== report.born) {
				log.write({event: 'engineRestarted', born: report.born});
			}

			this._report = report;
			if (report.slowdown !== undefined) {
				this._pacer.noteSlowdown(report.slowdown, performance.now());
			}

			return report;
		} catch (error) {
			if (!this._isEngineLost) {
				this._isEngineLost = true;
				this._engineLostAt = performance.now();
				log.write({
					event: 'dependencyLost',
					dependency: 'engine',
					error: String(error),
				});
			}

			return undefined;
		}
	}

	/** Publishes changes of models, loads and the leaving at once; other changes only once per report interval. */
	private _publishReport(report: EngineReport): void {
		const now = performance.now();
		const {born, models, pending, isLeaving} = report;
		const slowdown = this._pacer.slowdown(now);
		const digest = JSON.stringify([born, models, pending, isLeaving, slowdown]);
		if (
			digest === this._publishedDigest &&
			now - this._publishedAt < reportIntervalMs
		) {
			return;
		}

		this._publishedDigest = digest;
		this._publishedAt = now;
		for (const [id, subscriber] of this._subscribers) {
			if (now - subscriber.lastDemandAt > demandLifetimeMs) {
				this._subscribers.delete(id);
			} else {
				this._sendReport(subscriber);
			}
		}
	}

	private _sendReport({endpoint, wantsClock}: Subscriber): void {
		const now = performance.now();
		const slowdown = this._pacer.slowdown(now);
		if (this._report !== undefined && this._server !== undefined) {
			this._socket?.send(
				{
					type: 'report',
					server: this._server,
					report: {
						...this._report,
						...(slowdown !== undefined && {slowdown}),
						promptDebt: Math.round(
							this._pacer.debt(now) + this._turnQueue.waitingTokens(),
						),
						firstLoads: this._planner.firstLoads(
							this._report,
							performance.now(),
						),
						prefillTokensPerMs:
							Math.round(this._prefillRate.tokensPerMs * 10) / 10,
					},
					...(wantsClock && {wallMs: Date.now()}),
				},
				endpoint,
			);
		}
	}

	private _nextCycleDelayMs(): number {
		if (this._subscribers.size === 0) {
			return unsubscribedReportIntervalMs;
		}

		const isLoading =
			this._planner.hasWants || (this._report?.pending.length ?? 0) > 0;
		if (isLoading) {
			return loadingReportIntervalMs;
		}

		const isQuiet = this._report?.running === 0 && this._report.waiting === 0;
		if (isQuiet) {
			return idleReportIntervalMs;
		}

		// Only a report that tells the slowdown is worth reading more often.
		return this._report?.slowdown !== undefined &&
			this._pacer.wasSlow(performance.now())
			? slowReportIntervalMs
			: reportIntervalMs;
	}
}
