import {
	AgentCore,
	type AgentCommand,
	type AgentEvent,
	type AgentPolicy,
	type ConfigView,
	type Dispatch,
	type Refusal,
	type ServerStatus,
	type Usage,
} from '@balsamtray/core';
import type {VirtualTime} from '../rate-fleet/virtual-time.js';
import {
	adapterSlots,
	coldRunning,
	healthIntervalMs,
	maxRunning,
	networkDelayMs,
} from './constants.js';
import type {WorkloadRequest} from './types.js';
import type {VirtualEngine} from './virtual-engine.js';
import {WakeTimer} from './wake-timer.js';

/** Listener of the entry that sent a dispatch. */
export type DispatchListener = {
	onRefused(refusal: Refusal, status: ServerStatus): void;
	onStarted(status: ServerStatus): void;
	onCompleted(usage: Usage): void;
	/** Called when the connection is lost. `hasStarted` is true if part of the answer had arrived. */
	onConnectionLost(hasStarted: boolean): void;
};

/** A dispatch that is queued or running at the agent. */
type InFlightDispatch = {
	readonly dispatch: Dispatch;
	readonly request: WorkloadRequest;
	readonly listener: DispatchListener;
	readonly servedName: string;
	readonly arrivedAt: number;
	readonly wasResident: boolean;
	hasStarted: boolean;
};

/** Options of a simulated agent. */
export type VirtualAgentOptions = {
	readonly server: string;
	readonly zone: string;
	readonly baseModel: string;
	readonly time: VirtualTime;
	readonly engine: VirtualEngine;
	readonly policy: AgentPolicy;
	readonly view: () => ConfigView;
	readonly onSuspects: (
		fingerprints: readonly string[],
		bootId: string,
	) => void;
	/** Called when a request that waited for an adapter load starts on the engine. */
	readonly onLoadWait: (request: WorkloadRequest, waitMs: number) => void;
};

/** Maximum length of an agent's queue, per request that its engine can run at once. */
const maxQueuedPerRunning = 16;

const loadTimeoutMs = 30_000;

/** Runs the agent's core in virtual time against a simulated engine. */
export class VirtualAgent {
	static create(options: VirtualAgentOptions): VirtualAgent {
		return new VirtualAgent(options);
	}

	private readonly _core: AgentCore;
	private readonly _inFlight = new Map<string, InFlightDispatch>();
	private readonly _wakeTimer: WakeTimer;

	private constructor(private readonly _options: VirtualAgentOptions) {
		const {server, zone, baseModel, view, policy, time} = _options;
		this._core = AgentCore.create({
			settings: {
				server,
				zone,
				incarnation: `${server}/1`,
				backend: {kind: 'engine', baseModel},
				limits: {
					adapterSlots,
					coldWindow: coldRunning,
					maxWindow: maxRunning,
					maxQueued: maxRunning * maxQueuedPerRunning,
					loadTimeoutMs,
				},
			},
			config: view,
			policy,
		});
		this._wakeTimer = WakeTimer.create(time, () => {
			this._handle({type: 'tick'});
		});
		this._checkHealth();
		this._checkHealthRegularly();
	}

	/** Accepts a dispatch from an entry. */
	dispatch(
		dispatch: Dispatch,
		request: WorkloadRequest,
		listener: DispatchListener,
	): void {
		const servedName =
			dispatch.target.kind === 'adapter'
				? `${dispatch.target.adapter}@${dispatch.target.version}`
				: '';
		this._inFlight.set(dispatch.attemptId, {
			dispatch,
			request,
			listener,
			servedName,
			arrivedAt: this._now,
			wasResident: this._status(servedName).adapterState === 'resident',
			hasStarted: false,
		});
		this._handle({type: 'dispatchArrived', dispatch});
	}

	cancel(attemptId: string): void {
		this._handle({type: 'dispatchCancelled', attemptId});
		this._inFlight.delete(attemptId);
	}

	onConfigAdvanced(): void {
		this._handle({type: 'configAdvanced'});
	}

	status(): ServerStatus {
		return this._status();
	}

	private get _now(): number {
		return this._options.time.now;
	}

	private _status(servedName?: string): ServerStatus {
		return this._core.status(servedName, this._now);
	}

	private _handle(event: AgentEvent): void {
		for (const command of this._core.handle(event, this._now)) {
			this._execute(command);
		}

		this._wakeTimer.schedule(this._core.nextWakeAt());
	}

	private _execute(command: AgentCommand): void {
		switch (command.type) {
			case 'runOnBackend': {
				this._run(command.attemptId);
				break;
			}

			case 'cancelOnBackend': {
				this._options.engine.cancel(command.attemptId);
				break;
			}

			case 'loadAdapter': {
				this._load(command.loadId, command.servedName);
				break;
			}

			case 'unloadAdapter': {
				this._unload(command.loadId, command.servedName);
				break;
			}

			case 'refuse': {
				this._refuse(command.attemptId, command.refusal);
				break;
			}

			case 'checkHealth': {
				this._checkHealth();
				break;
			}

			case 'reportSuspects': {
				this._options.onSuspects(command.fingerprints, command.bootId);
				break;
			}

			case 'drained': {
				break;
			}
		}
	}

	private _run(attemptId: string): void {
		const inFlight = this._inFlight.get(attemptId);
		if (inFlight === undefined) {
			return;
		}

		const {engine, onLoadWait} = this._options;
		if (!inFlight.wasResident) {
			onLoadWait(inFlight.request, this._now - inFlight.arrivedAt);
		}

		engine.run(attemptId, inFlight.servedName, inFlight.request, {
			onFirstToken: () => {
				inFlight.hasStarted = true;
				inFlight.listener.onStarted(this._status(inFlight.servedName));
			},
			onCompleted: () => {
				this._complete(inFlight);
			},
			onFailed: fault => {
				this._inFlight.delete(attemptId);
				inFlight.listener.onConnectionLost(inFlight.hasStarted);
				// Deferred: a crashing engine fails all its requests first, then the agent handles the failures.
				this._options.time.after(0, () => {
					this._handle({type: 'answerFailed', attemptId, fault});
				});
			},
		});
	}

	private _complete(inFlight: InFlightDispatch): void {
		const {attemptId} = inFlight.dispatch;
		const usage = {
			promptTokens: inFlight.request.promptTokens,
			completionTokens: inFlight.request.answerTokens,
		};
		this._inFlight.delete(attemptId);
		inFlight.listener.onCompleted(usage);
		this._options.time.after(0, () => {
			this._handle({type: 'answerCompleted', attemptId, usage});
		});
	}

	private _load(loadId: string, servedName: string): void {
		const {engine, time} = this._options;
		engine.load(servedName, isLoaded => {
			time.after(0, () => {
				this._handle(
					isLoaded
						? {type: 'loadCompleted', loadId, bootId: engine.bootId}
						: {type: 'loadFailed', loadId, reason: 'the engine refused'},
				);
			});
		});
	}

	private _unload(loadId: string, servedName: string): void {
		const isUnloaded = this._options.engine.unload(servedName);
		this._options.time.after(networkDelayMs, () => {
			this._handle(
				isUnloaded
					? {type: 'unloadCompleted', loadId}
					: {type: 'unloadFailed', loadId, reason: 'the engine is down'},
			);
		});
	}

	private _refuse(attemptId: string, refusal: Refusal): void {
		const inFlight = this._inFlight.get(attemptId);
		this._inFlight.delete(attemptId);
		inFlight?.listener.onRefused(refusal, this._status(inFlight.servedName));
	}

	private _checkHealth(): void {
		const {engine, time} = this._options;
		const askedAt = this._now;
		time.after(networkDelayMs, () => {
			this._handle(
				engine.isUp
					? {type: 'backendHealthy', health: engine.health(), askedAt}
					: {type: 'backendUnreachable'},
			);
		});
	}

	private _checkHealthRegularly(): void {
		this._options.time.after(healthIntervalMs, () => {
			this._checkHealth();
			this._checkHealthRegularly();
		});
	}
}
