import {performance} from 'node:perf_hooks';
import {
	OrderPlanner,
	PromptPacer,
	type EngineOrder,
	type EngineReport,
	type OrderOutcome,
} from '@balsamtray/core';
import type {DemandMessage, GossipMessage} from '@balsamtray/protocol';
import {
	busyReportIntervalMs,
	demandLifetimeMs,
	idleReportIntervalMs,
	quietReportIntervalMs,
	reportIntervalMs,
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

type Subscriber = {readonly endpoint: Endpoint; readonly lastAt: number};

/** Gives the orders to the engine beside it, and tells entries what the engine reports. */
export class AgentRuntime {
	static create(options: AgentRuntimeOptions): AgentRuntime {
		return new AgentRuntime(options);
	}

	private readonly _planner = OrderPlanner.create();
	private readonly _pacer = PromptPacer.create(performance.now());
	private readonly _metrics = DirectMetrics.create(() => 0);
	private readonly _entries = new Map<string, Subscriber>();
	private _socket: DatagramSocket | undefined;
	private _metricsServer: TextServer | undefined;
	private _server: string | undefined;
	private _report: EngineReport | undefined;
	private _sentDigest = '';
	private _sentAt = Number.NEGATIVE_INFINITY;
	private _isEngineLost = false;
	private _lostAt = 0;
	private _isTurning = false;
	private _isTurnWanted = false;
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
			this._metrics.answer(),
		);
		log.write({event: 'started', role: 'agent', isFirstStart: false});
		void this._turn();
	}

	/** Gives no more orders. */
	async stop(): Promise<void> {
		this._isStopped = true;
		clearTimeout(this._timer);
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
			const {askId, promptTokens} = message;
			const delayMs = this._pacer.reserve(promptTokens, now);
			this._socket?.send({type: 'turnAnswer', askId, delayMs}, from);
		}

		if (message.type === 'turnReturn') {
			this._pacer.release(message.promptTokens, now);
		}
	}

	private _onDemand(message: DemandMessage, from: Endpoint, now: number): void {
		const id = `${from.host}:${from.port}`;
		const isNew = !this._entries.has(id);
		this._entries.set(id, {endpoint: from, lastAt: now});
		this._server = message.server;
		this._planner.noteDemand(message.demand, id, now);
		if (isNew) {
			this._tell(from);
		}

		// A new entry may be the first to tell what the engine should hold.
		if (isNew || message.demand.wants.length > 0) {
			void this._turn();
		}
	}

	/** Reads the engine's report, gives orders as far as they are due, and tells the entries. */
	private async _turn(): Promise<void> {
		if (this._isTurning) {
			this._isTurnWanted = true;
			return;
		}

		this._isTurning = true;
		clearTimeout(this._timer);
		do {
			this._isTurnWanted = false;
			// Each order is decided on the report after the one before.
			// eslint-disable-next-line no-await-in-loop
			this._isTurnWanted = (await this._step()) || this._isTurnWanted;
		} while (this._isTurnWanted && !this._isStopped);

		this._isTurning = false;
		if (!this._isStopped) {
			this._timer = setTimeout(() => {
				void this._turn();
			}, this._pauseMs());
		}
	}

	/** Returns whether an order was given, so that the report has changed. */
	private async _step(): Promise<boolean> {
		const report = await this._readReport();
		if (report === undefined || this._isStopped) {
			return false;
		}

		this._tellEntries(report);
		const order = this._planner.plan(report, performance.now());
		if (order === undefined) {
			return false;
		}

		const outcome = await this._give(order);
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

	private async _give(order: EngineOrder): Promise<OrderOutcome> {
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
			const report = await engine.report();
			if (this._isEngineLost) {
				this._isEngineLost = false;
				log.write({
					event: 'dependencyRegained',
					dependency: 'engine',
					lostForMs: Math.round(performance.now() - this._lostAt),
				});
			}

			if (this._report !== undefined && this._report.born !== report.born) {
				log.write({event: 'engineRestarted', born: report.born});
			}

			this._report = report;
			return report;
		} catch (error) {
			if (!this._isEngineLost) {
				this._isEngineLost = true;
				this._lostAt = performance.now();
				log.write({
					event: 'dependencyLost',
					dependency: 'engine',
					error: String(error),
				});
			}

			return undefined;
		}
	}

	/** Tells the entries at once what they wait for, and the load at an interval. */
	private _tellEntries(report: EngineReport): void {
		const now = performance.now();
		const digest = JSON.stringify([report.born, report.models, report.pending]);
		if (digest === this._sentDigest && now - this._sentAt < reportIntervalMs) {
			return;
		}

		this._sentDigest = digest;
		this._sentAt = now;
		for (const [id, {endpoint, lastAt}] of this._entries) {
			if (now - lastAt > demandLifetimeMs) {
				this._entries.delete(id);
			} else {
				this._tell(endpoint);
			}
		}
	}

	private _tell(to: Endpoint): void {
		if (this._report !== undefined && this._server !== undefined) {
			this._socket?.send(
				{
					type: 'report',
					server: this._server,
					report: {
						...this._report,
						promptDebt: Math.round(this._pacer.debt(performance.now())),
					},
				},
				to,
			);
		}
	}

	private _pauseMs(): number {
		if (this._entries.size === 0) {
			return idleReportIntervalMs;
		}

		const isLoading =
			this._planner.hasWants || (this._report?.pending.length ?? 0) > 0;
		if (isLoading) {
			return busyReportIntervalMs;
		}

		const isQuiet = this._report?.running === 0 && this._report.waiting === 0;
		return isQuiet ? quietReportIntervalMs : reportIntervalMs;
	}
}
