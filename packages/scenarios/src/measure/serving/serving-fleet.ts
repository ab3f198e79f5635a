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
	balancerLagMs,
	configDelayMs,
	engineCount,
	engineRestartMs,
	entryCount,
	measuredMs,
	networkDelayMs,
	warmUpMs,
	zones,
} from './constants.js';
import {burstSeconds, RequestLedger} from './request-recorder.js';
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

/** Time after the last arrival in which requests may end, in milliseconds. */
const drainMs = 60_000;

/** Time after which the bucket of comparison gets unused tokens back, in milliseconds. */
const typicalAnswerMs = 1500;

function keyOf(customer: string): string {
	return `key-${customer}`;
}

/** Customers, keys and adapters of the workload. */
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

/** Entries, agents and engines of today's size in virtual time, under one policy. */
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
	private readonly _ledger = RequestLedger.create();
	private readonly _requests = new Map<string, WorkloadRequest>();
	private readonly _entryOf = new Map<string, ServingEntry>();
	private readonly _balancer: Random;
	private readonly _workload: readonly WorkloadRequest[];
	private _config: ConfigState;
	private _balanced: readonly ServingEntry[];

	private constructor(
		private readonly _experiment: Experiment,
		private readonly _policy: ServingPolicy,
		seed: number,
	) {
		this._config = this._applied(ConfigState.empty(), initialOps());
		this._rate = this._createRate(seed);
		this._time = this._rate.time;
		this._weights = VirtualWeightStore.create(this._time);
		this._balancer = createRandom(seed + 77);
		const agents = agentHosts();
		for (const host of agents) {
			this._addAgent(host);
		}

		this._addEntries(agents);
		this._balanced = this._entries;
		this._workload = createWorkload(_experiment, seed);
	}

	/** Runs the experiment and returns what became of each request after the warm-up. */
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
		return this._ledger.records().filter(({request}) => request.at >= warmUpMs);
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
						this._tellSuspects(fingerprints, bootId);
					});
				},
				onLoadWait: (request, waitMs) => {
					this._ledger.onLoadWait(request, waitMs);
				},
			}),
		);
	}

	private _tellSuspects(fingerprints: readonly string[], bootId: string): void {
		for (const entry of this._entries) {
			entry.handle({type: 'suspectsReported', fingerprints, bootId});
		}
	}

	private _addEntries(hosts: readonly Host[]): void {
		const {_ledger: ledger, _time: time} = this;
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
							ledger.onFirstToken(request, time.now);
						},
						onAnswered(request) {
							ledger.onAnswered(request, time.now);
						},
						onRefused(request, refusal) {
							ledger.onRefused(request, refusal);
						},
						onCut(request) {
							ledger.onCut(request);
						},
					},
					reserve: (requestId, customer, tokens) => {
						this._rate.reserve(id, requestId, customer, tokens);
					},
					giveBack: (requestId, tokens) => {
						this._rate.giveBack(id, requestId, tokens);
					},
				}),
			);
		}
	}

	/** The platform's balancer gives the request to an entry that it holds for alive. */
	private _send(request: WorkloadRequest): void {
		this._countInOneBucket(request);
		const index = Math.floor(this._balancer() * this._balanced.length);
		const entry = this._balanced[index]!;
		if (!entry.isAlive) {
			this._ledger.onUnreached(request);
			return;
		}

		this._entryOf.set(request.id, entry);
		entry.accept(request);
	}

	private _countInOneBucket(request: WorkloadRequest): void {
		if (!this._ledger.onArrived(request, this._time.now)) {
			return;
		}

		const unused = request.maxTokens - request.answerTokens;
		this._time.after(typicalAnswerMs, () => {
			this._ledger.onUnused(request, unused, this._time.now);
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
					this._weights.slowness = disturbance.factor;
				});
				at(disturbance.toMs, () => {
					this._weights.slowness = 1;
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
			this._ledger.onLost(request);
		}

		this._time.after(balancerLagMs, () => {
			this._balanced = this._entries.filter(({isAlive}) => isAlive);
		});
	}

	/** Accepts a change, which all processes learn after the delay of its spread. */
	private _change(ops: readonly ConfigOp[]): void {
		this._time.after(configDelayMs, () => {
			this._config = this._applied(this._config, ops);
			for (const entry of this._entries) {
				entry.handle({type: 'configAdvanced'});
			}

			for (const agent of this._agents.values()) {
				agent.onConfigAdvanced();
			}
		});
	}

	private _applied(state: ConfigState, ops: readonly ConfigOp[]): ConfigState {
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
