import {
	ConfigState,
	createRandom,
	type AgentHost,
	type ConfigOp,
	type Host,
	type Random,
	type RateHolder,
} from '@balsamtray/core';
import {RateFleet} from '../rate-fleet/rate-fleet.js';
import type {VirtualTime} from '../rate-fleet/virtual-time.js';
import {
	balancerDetectionMs,
	configDelayMs,
	engineCount,
	engineRestartMs,
	entryCount,
	measuredMs,
	networkDelayMs,
	warmUpMs,
	zones,
} from './constants.js';
import {burstSeconds, RequestRecorder} from './request-recorder.js';
import {ServingEntry} from './serving-entry.js';
import type {
	Disturbance,
	Experiment,
	FleetCounts,
	RequestRecord,
	ServingPolicy,
	WorkloadRequest,
} from './types.js';
import {VirtualAgent} from './virtual-agent.js';
import {VirtualEngine} from './virtual-engine.js';
import {VirtualWeightStore} from './virtual-weight-store.js';
import {
	adapterName,
	adaptersPerCustomer,
	createWorkload,
	workloadCustomers,
} from './workload.js';

const region = 'region';
const baseModel = 'base';

/** Time that the simulation continues after the last arrival, in milliseconds. Requests in flight end within it. */
const drainMs = 60_000;

/** Time from arrival until the global bucket gets unused tokens back, in milliseconds: the duration of a typical answer. */
const tokenReturnDelayMs = 1500;

function keyOf(customer: string): string {
	return `key-${customer}`;
}

/** Returns operations that create the customers, keys and adapters of the workload. */
function initialOps(): readonly ConfigOp[] {
	return workloadCustomers.flatMap(({name, tokensPerSecond}): ConfigOp[] => [
		{
			op: 'putCustomer',
			customer: {
				name,
				tokensPerSecond,
				burstTokens: tokensPerSecond * burstSeconds,
				weight: 1,
			},
		},
		{
			op: 'issueKey',
			key: {
				id: keyOf(name),
				customer: name,
				salt: '',
				digest: '',
				issuedAt: 0,
			},
		},
		...Array.from({length: adaptersPerCustomer}, (_, rank): ConfigOp => ({
			op: 'putAdapter',
			adapter: {
				name: adapterName(name, rank),
				baseModel,
				customers: [name],
				versions: [{name: 'v1', weights: adapterName(name, rank)}],
				currentVersion: 'v1',
			},
		})),
	]);
}

function entryHolders(): readonly RateHolder[] {
	return Array.from({length: entryCount}, (_, i) => ({
		id: `entry-${i + 1}`,
		zone: zones[i % zones.length]!,
		region,
	}));
}

function agentHosts(): readonly AgentHost[] {
	return Array.from({length: engineCount}, (_, i) => ({
		role: 'agent',
		id: `engine-${i + 1}`,
		zone: zones[i % zones.length]!,
		region,
		peerAddress: `engine-${i + 1}`,
		state: 'live',
		backend: {kind: 'engine', baseModel},
	}));
}

/** Simulates a fleet of entries, agents and engines at the current size, in virtual time and with one policy. */
export class ServingFleet {
	static create(
		experiment: Experiment,
		policy: ServingPolicy,
		seed: number,
	): ServingFleet {
		return new ServingFleet(experiment, policy, seed);
	}

	private readonly _time: VirtualTime;
	private readonly _rate: RateFleet;
	private readonly _weights: VirtualWeightStore;
	private readonly _engines: VirtualEngine[] = [];
	private readonly _agents = new Map<string, VirtualAgent>();
	private readonly _entries: ServingEntry[] = [];
	private readonly _recorder = RequestRecorder.create();
	private readonly _requests = new Map<string, WorkloadRequest>();
	private readonly _entryOf = new Map<string, ServingEntry>();
	private readonly _balancerRandom: Random;
	private readonly _workload: readonly WorkloadRequest[];
	private _config: ConfigState;
	private _balancedEntries: readonly ServingEntry[];

	private constructor(
		private readonly _experiment: Experiment,
		private readonly _policy: ServingPolicy,
		seed: number,
	) {
		this._config = this._applyOps(ConfigState.empty(), initialOps());
		this._rate = this._createRate(seed);
		this._time = this._rate.time;
		this._weights = VirtualWeightStore.create(this._time);
		this._balancerRandom = createRandom(seed + 77);
		const agents = agentHosts();
		for (const host of agents) {
			this._addAgent(host);
		}

		this._addEntries(agents);
		this._balancedEntries = this._entries;
		this._workload = createWorkload(_experiment, seed);
	}

	/** Runs the experiment. Returns the outcome of each request that arrived after the warm-up. */
	run(): readonly RequestRecord[] {
		for (const request of this._workload) {
			this._requests.set(request.id, request);
			this._time.at(request.at, () => {
				this._send(request);
			});
		}

		for (const disturbance of this._experiment.disturbances) {
			this._schedule(disturbance);
		}

		this._time.runUntil(warmUpMs + measuredMs + drainMs);
		return this._recorder
			.records()
			.filter(({request}) => request.at >= warmUpMs);
	}

	counts(): FleetCounts {
		const sum = (value: (engine: VirtualEngine) => number) =>
			this._engines.reduce((total, engine) => total + value(engine), 0);
		return {
			loads: this._weights.loads,
			engineCrashes: sum(engine => engine.crashes),
			requestsPerBatch: sum(e => e.runningMs) / sum(e => e.busyMs),
			overruns: sum(engine => engine.overruns),
		};
	}

	private _createRate(seed: number): RateFleet {
		const rate = RateFleet.create({
			seed,
			entries: entryHolders(),
			shards: [1, 2, 3].map(i => ({id: `shard-${i}`, region})),
			limits: workloadCustomers.map(({name, tokensPerSecond}) => ({
				customer: name,
				tokensPerSecond,
				burstTokens: tokensPerSecond * burstSeconds,
			})),
			policy: this._policy.rate,
		});
		rate.onSettled(({requestId, isReserved, retryAfterMs}) => {
			this._entryOf.get(requestId)?.handle(
				isReserved
					? {type: 'tokensReserved', requestId}
					: {
							type: 'tokensRefused',
							requestId,
							...(retryAfterMs === undefined ? {} : {retryAfterMs}),
						},
			);
		});
		return rate;
	}

	private _addAgent(host: AgentHost): void {
		const engine = VirtualEngine.create(host.id, this._time, this._weights);
		this._engines.push(engine);
		this._agents.set(
			host.id,
			VirtualAgent.create({
				server: host.id,
				zone: host.zone,
				baseModel,
				time: this._time,
				engine,
				policy: this._policy.agent,
				view: () => this._config,
				onSuspects: (fingerprints, bootId) => {
					this._time.after(networkDelayMs, () => {
						this._reportSuspects(fingerprints, bootId);
					});
				},
				onLoadWait: (request, waitMs) => {
					this._recorder.onLoadWait(request, waitMs);
				},
			}),
		);
	}

	private _reportSuspects(
		fingerprints: readonly string[],
		bootId: string,
	): void {
		for (const entry of this._entries) {
			entry.handle({type: 'suspectsReported', fingerprints, bootId});
		}
	}

	private _addEntries(hosts: readonly Host[]): void {
		const {_recorder: recorder, _time: time} = this;
		for (const {id} of entryHolders()) {
			this._entries.push(
				ServingEntry.create({
					id,
					region,
					time,
					policy: this._policy.routing,
					view: () => this._config,
					keyId: keyOf,
					agents: this._agents,
					hosts,
					listener: {
						onFirstToken(request) {
							recorder.onFirstToken(request, time.now);
						},
						onAnswered(request) {
							recorder.onAnswered(request, time.now);
						},
						onRefused(request, refusal) {
							recorder.onRefused(request, refusal);
						},
						onCut(request) {
							recorder.onCut(request);
						},
					},
					reserve: (requestId, customer, tokens) => {
						this._rate.reserve(id, requestId, customer, tokens);
					},
					returnTokens: (requestId, tokens) => {
						this._rate.returnTokens(id, requestId, tokens);
					},
				}),
			);
		}
	}

	/** Sends the request, as the platform's balancer does, to a random entry that the balancer considers alive. */
	private _send(request: WorkloadRequest): void {
		this._countInGlobalBucket(request);
		const index = Math.floor(
			this._balancerRandom() * this._balancedEntries.length,
		);
		const entry = this._balancedEntries[index]!;
		if (!entry.isAlive) {
			this._recorder.onUnreached(request);
			return;
		}

		this._entryOf.set(request.id, entry);
		entry.accept(request);
	}

	private _countInGlobalBucket(request: WorkloadRequest): void {
		if (!this._recorder.onArrived(request, this._time.now)) {
			return;
		}

		const unused = request.maxTokens - request.answerTokens;
		this._time.after(tokenReturnDelayMs, () => {
			this._recorder.onUnused(request, unused, this._time.now);
		});
	}

	private _schedule(disturbance: Disturbance): void {
		const at = (offsetMs: number, run: () => void) => {
			this._time.at(warmUpMs + offsetMs, run);
		};

		switch (disturbance.kind) {
			case 'zoneOut': {
				const {zone, fromMs, toMs} = disturbance;
				at(fromMs, () => {
					this._change([{op: 'takeZoneOut', zone}]);
				});
				at(toMs, () => {
					this._change([{op: 'bringZoneIn', zone}]);
				});
				break;
			}

			case 'enginesRestart': {
				at(disturbance.atMs, () => {
					for (const index of disturbance.engines) {
						this._engines[index]?.restart(engineRestartMs);
					}
				});
				break;
			}

			case 'storeDown': {
				at(disturbance.fromMs, () => {
					this._rate.table.isDown = true;
				});
				at(disturbance.toMs, () => {
					this._rate.table.isDown = false;
				});
				break;
			}

			case 'entryKilled': {
				at(disturbance.atMs, () => {
					this._kill(disturbance.entry);
				});
				break;
			}

			case 'weightsSlow': {
				at(disturbance.fromMs, () => {
					this._weights.slowdown = disturbance.factor;
				});
				at(disturbance.toMs, () => {
					this._weights.slowdown = 1;
				});
				break;
			}
		}
	}

	private _kill(index: number): void {
		const entry = this._entries[index]!;
		entry.isAlive = false;
		this._rate.kill(entryHolders()[index]!.id, false);
		for (const request of entry.openRequests()) {
			this._recorder.onLost(request);
		}

		this._time.after(balancerDetectionMs, () => {
			this._balancedEntries = this._entries.filter(({isAlive}) => isAlive);
		});
	}

	/** Submits a change. All processes receive it after `configDelayMs`. */
	private _change(ops: readonly ConfigOp[]): void {
		this._time.after(configDelayMs, () => {
			this._config = this._applyOps(this._config, ops);
			for (const entry of this._entries) {
				entry.handle({type: 'configAdvanced'});
			}

			for (const agent of this._agents.values()) {
				agent.onConfigAdvanced();
			}
		});
	}

	private _applyOps(state: ConfigState, ops: readonly ConfigOp[]): ConfigState {
		const version = state.version + 1;
		const result = state.applyChange({
			version,
			changeId: String(version),
			author: 'experiment',
			writtenAt: 0,
			summary: 'experiment',
			ops,
		});
		if (result.kind !== 'applied') {
			throw new Error(`change ${version} was not applied`);
		}

		return result.state;
	}
}
