import {
	AgentCore,
	topByRendezvous,
	type AgentCommand,
	type AgentEvent,
	type AgentPolicy,
	type ConfigView,
	type Dispatch,
	type Refusal,
} from '@balsamtray/core';
import {VirtualTime} from '../rate-fleet/virtual-time.js';
import {
	adapterSlots,
	coldRunning,
	deadlineMs,
	engineCount,
	healthIntervalMs,
	maxRunning,
	measuredMs,
	networkDelayMs,
	warmUpMs,
} from '../serving/constants.js';
import type {Experiment, WorkloadRequest} from '../serving/types.js';
import {VirtualEngine} from '../serving/virtual-engine.js';
import {VirtualWeightStore} from '../serving/virtual-weight-store.js';
import {createWorkload} from '../serving/workload.js';

/** Number of engines on which an adapter may run. */
const serversPerAdapter = 4;

/** Maximum number of attempts for one request. */
const maxAttempts = 2;

/** How one request of the experiment ended. */
export type AgentRecord = {
	readonly request: WorkloadRequest;
	/** Milliseconds from arrival to the first token. Absent for a request without an answer. */
	readonly firstTokenMs?: number;
	/** Code of the last refusal. Absent for an answered request. */
	readonly code?: string;
	/** Whether the adapter was not resident when the request arrived at the agent. */
	readonly isStalled: boolean;
	/** For a stalled request, time from arrival until it was sent to the engine, in milliseconds. Otherwise 0. */
	readonly stallMs: number;
};

/** Measurements of one run. */
export type AgentFleetResult = {
	readonly records: readonly AgentRecord[];
	readonly loads: number;
	readonly requestsPerBatch: number;
};

type Agent = {
	readonly name: string;
	readonly core: AgentCore;
	readonly engine: VirtualEngine;
	wakeAt: number | undefined;
};

type Attempt = {
	readonly request: WorkloadRequest;
	readonly earlierAttempts: number;
	readonly agent: Agent;
	isStalled: boolean;
	stallMs: number;
	firstTokenMs: number | undefined;
};

const returnUndefined = () => undefined;

const view: ConfigView = {
	version: 1,
	documentDigest: '',
	customer: returnUndefined,
	adapter: returnUndefined,
	route: returnUndefined,
	key: returnUndefined,
	isKeyWithdrawn: () => false,
	isZoneOut: () => false,
	isServerDrained: () => false,
	lastChangeVersion: () => 0,
	customers: () => [],
	adapters: () => [],
	routes: () => [],
	toSnapshot() {
		throw new Error('this configuration view has no snapshot');
	},
};

/**
 * Runs one workload in virtual time on twelve agents with their engines and one weight store.
 * Routing is simple, so runs differ only by the agents' policy.
 */
export class AgentFleet {
	static create(policy: AgentPolicy): AgentFleet {
		return new AgentFleet(policy);
	}

	private readonly _time = VirtualTime.create();
	private readonly _weights = VirtualWeightStore.create(this._time);
	private readonly _agents: ReadonlyMap<string, Agent>;
	private readonly _attempts = new Map<string, Attempt>();
	private readonly _records: AgentRecord[] = [];

	private constructor(policy: AgentPolicy) {
		const agents = Array.from({length: engineCount}, (_, i) =>
			this._createAgent(`server-${i}`, policy),
		);
		this._agents = new Map(agents.map(agent => [agent.name, agent]));
	}

	run(experiment: Experiment, seed: number): AgentFleetResult {
		for (const agent of this._agents.values()) {
			this._pollHealth(agent);
		}

		for (const {kind, ...rest} of experiment.disturbances) {
			if (kind === 'enginesRestart' && 'engines' in rest) {
				this._time.at(warmUpMs + rest.atMs, () => {
					this._restart(rest.engines);
				});
			}
		}

		for (const request of createWorkload(experiment, seed)) {
			this._time.at(request.at, () => {
				this._send(request, 0);
			});
		}

		this._time.runUntil(warmUpMs);
		const loadsBefore = this._weights.loads;
		this._time.runUntil(warmUpMs + measuredMs);
		const loads = this._weights.loads - loadsBefore;
		this._time.runUntil(warmUpMs + measuredMs + 2 * deadlineMs);
		return {
			records: this._records.filter(({request}) => request.at >= warmUpMs),
			loads,
			requestsPerBatch: this._requestsPerBatch(),
		};
	}

	private _requestsPerBatch(): number {
		let runningMs = 0;
		let busyMs = 0;
		for (const {engine} of this._agents.values()) {
			runningMs += engine.runningMs;
			busyMs += engine.busyMs;
		}

		return runningMs / busyMs;
	}

	private _createAgent(name: string, policy: AgentPolicy): Agent {
		const core = AgentCore.create({
			settings: {
				server: name,
				zone: 'zone',
				incarnation: name,
				backend: {kind: 'engine', baseModel: 'base'},
				limits: {
					adapterSlots,
					coldWindow: coldRunning,
					maxWindow: maxRunning,
					maxQueued: 256,
					loadTimeoutMs: 30_000,
				},
			},
			config: () => view,
			policy,
		});
		const engine = VirtualEngine.create(name, this._time, this._weights);
		return {name, core, engine, wakeAt: undefined};
	}

	private _restart(engines: readonly number[]): void {
		for (const i of engines) {
			this._agents.get(`server-${i}`)?.engine.restart(1000);
		}
	}

	private _pollHealth(agent: Agent): void {
		this._checkHealth(agent);
		this._time.after(healthIntervalMs, () => {
			this._pollHealth(agent);
		});
	}

	private _checkHealth(agent: Agent): void {
		const {engine} = agent;
		const askedAt = this._time.now;
		const health = engine.isUp ? engine.health() : undefined;
		this._time.after(1, () => {
			this._handle(
				agent,
				health
					? {type: 'backendHealthy', health, askedAt}
					: {type: 'backendUnreachable'},
			);
		});
	}

	/**
	 * Sends a request to the engine with the lowest cost among those on which its adapter may run.
	 * @param earlierAttempts number of earlier attempts; that many engines at the head of the rendezvous order are skipped
	 */
	private _send(request: WorkloadRequest, earlierAttempts: number): void {
		const names = topByRendezvous(
			request.adapter,
			[...this._agents.keys()],
			serversPerAdapter,
		);
		const [agent] = names
			.slice(earlierAttempts)
			.map(name => this._agents.get(name)!)
			.toSorted((a, b) => this._costOf(a, request) - this._costOf(b, request));
		if (!agent) {
			throw new Error('no engine is left for another attempt');
		}

		const attemptId = `${request.id}/${earlierAttempts}`;
		const servedName = `${request.adapter}@1`;
		const {now} = this._time;
		const {adapterState} = agent.core.status(servedName, now);
		this._attempts.set(attemptId, {
			request,
			earlierAttempts,
			agent,
			isStalled: adapterState !== 'resident',
			stallMs: 0,
			firstTokenMs: undefined,
		});
		this._handle(agent, {
			type: 'dispatchArrived',
			dispatch: dispatchOf(request, attemptId, now),
		});
	}

	private _costOf({core}: Agent, request: WorkloadRequest): number {
		const status = core.status(`${request.adapter}@1`, this._time.now);
		const loadMs = status.adapterState === 'resident' ? 0 : 1000;
		const waitMs =
			status.customerWaitsMs?.[request.customer] ??
			status.lightWaitMs ??
			status.expectedWaitMs;
		return waitMs + loadMs + status.running;
	}

	private _handle(agent: Agent, event: AgentEvent): void {
		for (const command of agent.core.handle(event, this._time.now)) {
			this._execute(agent, command);
		}

		this._scheduleWake(agent);
	}

	private _scheduleWake(agent: Agent): void {
		const wakeAt = agent.core.nextWakeAt();
		if (wakeAt === undefined || wakeAt === agent.wakeAt) {
			return;
		}

		agent.wakeAt = wakeAt;
		this._time.at(wakeAt, () => {
			if (agent.wakeAt === wakeAt) {
				agent.wakeAt = undefined;
				this._handle(agent, {type: 'tick'});
			}
		});
	}

	private _execute(agent: Agent, command: AgentCommand): void {
		switch (command.type) {
			case 'runOnBackend': {
				this._run(agent, command.attemptId, command.servedName ?? '');
				break;
			}

			case 'loadAdapter': {
				const {loadId, servedName} = command;
				agent.engine.load(servedName, isLoaded => {
					this._handle(
						agent,
						isLoaded
							? {type: 'loadCompleted', loadId, bootId: agent.engine.bootId}
							: {type: 'loadFailed', loadId, reason: 'failed'},
					);
				});
				break;
			}

			case 'unloadAdapter': {
				const {loadId, servedName} = command;
				agent.engine.unload(servedName);
				this._time.after(1, () => {
					this._handle(agent, {type: 'unloadCompleted', loadId});
				});
				break;
			}

			case 'refuse': {
				this._handleRefusal(command.attemptId, command.refusal);
				break;
			}

			case 'checkHealth': {
				this._checkHealth(agent);
				break;
			}

			case 'cancelOnBackend':
			case 'reportSuspects':
			case 'drained': {
				break;
			}
		}
	}

	private _run(agent: Agent, attemptId: string, servedName: string): void {
		const attempt = this._attempts.get(attemptId)!;
		const {request} = attempt;
		const {now} = this._time;
		attempt.stallMs = attempt.isStalled ? now - request.at : 0;
		agent.engine.run(attemptId, servedName, request, {
			onFirstToken: () => {
				attempt.firstTokenMs = this._time.now - request.at + 2 * networkDelayMs;
			},
			onCompleted: () => {
				this._end(attemptId, undefined);
				this._handle(agent, {
					type: 'answerCompleted',
					attemptId,
					usage: {
						promptTokens: request.promptTokens,
						completionTokens: request.answerTokens,
					},
				});
			},
			onFailed: fault => {
				this._time.after(1, () => {
					this._handle(agent, {type: 'answerFailed', attemptId, fault});
				});
			},
		});
	}

	private _handleRefusal(attemptId: string, refusal: Refusal): void {
		const attempt = this._attempts.get(attemptId);
		if (!attempt) {
			return;
		}

		const earlierAttempts = attempt.earlierAttempts + 1;
		if (refusal.notRun && earlierAttempts < maxAttempts) {
			this._attempts.delete(attemptId);
			this._time.after(networkDelayMs, () => {
				this._send(attempt.request, earlierAttempts);
			});
		} else {
			this._end(attemptId, refusal.code);
		}
	}

	private _end(attemptId: string, code: string | undefined): void {
		const attempt = this._attempts.get(attemptId)!;
		this._attempts.delete(attemptId);
		const {request, firstTokenMs, isStalled, stallMs} = attempt;
		this._records.push({
			request,
			isStalled,
			stallMs,
			...(code === undefined ? {firstTokenMs: firstTokenMs ?? 0} : {code}),
		});
	}
}

function dispatchOf(
	request: WorkloadRequest,
	attemptId: string,
	now: number,
): Dispatch {
	return {
		attemptId,
		requestId: request.id,
		entryId: 'entry',
		configVersion: 1,
		customer: request.customer,
		weight: 1,
		target: {
			kind: 'adapter',
			adapter: request.adapter,
			version: '1',
			weights: request.adapter,
		},
		isRepeatable: true,
		promptTokens: request.promptTokens,
		maxTokens: request.maxTokens,
		timeLeftMs: request.at + deadlineMs - now,
		fingerprint: request.fingerprint,
	};
}
