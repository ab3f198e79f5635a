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

/** What an agent tells the entry that sent a dispatch. */
export type DispatchListener = {
	onRefused(refusal: Refusal, status: ServerStatus): void;
	onStarted(status: ServerStatus): void;
	onCompleted(usage: Usage): void;
	/** The connection broke; `hasStarted` where part of the answer arrived. */
	onBroken(hasStarted: boolean): void;
};

/** A dispatch at the agent. */
type HeldDispatch = {
	readonly dispatch: Dispatch;
	readonly request: WorkloadRequest;
	readonly listener: DispatchListener;
	readonly servedName: string;
	readonly arrivedAt: number;
	readonly wasResident: boolean;
	hasStarted: boolean;
};

/** What an agent of the experiments is created from. */
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
	/** A request starts on the engine after it waited for a load. */
	readonly onLoadWait: (request: WorkloadRequest, waitMs: number) => void;
};

/** Waiting requests at an agent at most, for each that the engine runs at once. */
const queuedPerRunning = 16;

const loadTimeoutMs = 30_000;

/** Drives the agent's decisions in virtual time against a virtual engine. */
export class VirtualAgent {
	static create(options: VirtualAgentOptions): VirtualAgent {
		return new VirtualAgent(options);
	}

	private readonly _core: AgentCore;
	private readonly _held = new Map<string, HeldDispatch>();
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
					maxQueued: maxRunning * queuedPerRunning,
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

	/** A dispatch arrives from an entry. */
	dispatch(
		dispatch: Dispatch,
		request: WorkloadRequest,
		listener: DispatchListener,
	): void {
		const servedName =
			dispatch.target.kind === 'adapter'
				? `${dispatch.target.adapter}@${dispatch.target.version}`
				: '';
		this._held.set(dispatch.attemptId, {
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
		this._held.delete(attemptId);
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
			this._carryOut(command);
		}

		this._wakeTimer.schedule(this._core.nextWakeAt());
	}

	private _carryOut(command: AgentCommand): void {
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
		const held = this._held.get(attemptId);
		if (held === undefined) {
			return;
		}

		const {engine, onLoadWait} = this._options;
		if (!held.wasResident) {
			onLoadWait(held.request, this._now - held.arrivedAt);
		}

		engine.run(attemptId, held.servedName, held.request, {
			onFirstToken: () => {
				held.hasStarted = true;
				held.listener.onStarted(this._status(held.servedName));
			},
			onCompleted: () => {
				this._complete(held);
			},
			onFailed: fault => {
				this._held.delete(attemptId);
				held.listener.onBroken(held.hasStarted);
				// Failures are noticed after the engine has ended all that it ran.
				this._options.time.after(0, () => {
					this._handle({type: 'answerFailed', attemptId, fault});
				});
			},
		});
	}

	private _complete(held: HeldDispatch): void {
		const {attemptId} = held.dispatch;
		const usage = {
			promptTokens: held.request.promptTokens,
			completionTokens: held.request.answerTokens,
		};
		this._held.delete(attemptId);
		held.listener.onCompleted(usage);
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
		const held = this._held.get(attemptId);
		this._held.delete(attemptId);
		held?.listener.onRefused(refusal, this._status(held.servedName));
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
