import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {World} from '@cucumber/cucumber';
import type {EngineFaults} from '@balsamtray/standins';
import type {CallResult} from '../harness/call-result.js';
import type {Child} from '../harness/child.js';
import type {BackendPlan, FleetPlan} from '../harness/fleet-options.js';
import type {Fleet, FleetBackend} from '../harness/fleet.js';
import {waitUntil} from '../harness/wait-until.js';
import type {DaemonHost} from '../harness/daemon-host.js';
import type {OperatorResult} from '../harness/operator.js';
import type {FleetPool, PreparedFleet} from './fleet-pool.js';
import {GroundTruth} from './ground-truth.js';
import {
	scenarioBaseModel,
	scenarioService,
	scenarioWeights,
	type CurrentVersions,
} from './scenario-document.js';
import type {TrackedCall} from './tracked-call.js';
import type {Traffic} from './traffic.js';

/** A completion that a scenario asks for. */
export type ModelAsk = {
	readonly customer: string;
	/** Adapter, or `ADAPTER@VERSION`. */
	readonly model: string;
	readonly entryId: string;
	readonly isStreamed: boolean;
	readonly maxTokens?: number;
	readonly text?: string;
	readonly deadlineMs?: number;
	/** Set to send a request again; else a new one. */
	readonly ref?: string;
};

/** A call of a plain service that a scenario makes. */
export type ServiceAsk = {
	readonly customer: string;
	readonly entryId: string;
	readonly route: string;
	readonly label?: string;
	readonly text?: string;
	/** Set to send an order again; else a new one. */
	readonly ref?: string;
	readonly idempotencyKey?: string;
};

const tokensOfShortAnswer = 8;
const runningTimeoutMs = 10_000;

/** State of one scenario: its fleet, the calls that it made and what came of them. */
export class FleetWorld extends World {
	/** The pool lives longer than a scenario; the hooks hand it in. */
	pool: FleetPool | undefined;
	/** Whether the scenario did to the fleet what can't be undone. */
	isFleetLost = false;
	/** Versions that adapters have as their current ones. */
	currentVersions: CurrentVersions = {};
	readonly calls: TrackedCall[] = [];
	readonly pending = new Set<Promise<void>>();
	readonly traffic: Traffic[] = [];
	readonly engineFlags: string[] = [];
	readonly engineEnv: Record<string, string> = {};
	readonly serviceFlags: string[] = [];
	readonly operatorResults: OperatorResult[] = [];
	readonly extraChildren: Child[] = [];
	/** Customers whose key the scenario withdrew. */
	readonly withdrawnCustomers: string[] = [];
	readonly faults = new Map<string, EngineFaults>();
	/** Texts of orders, by their label. */
	readonly orderTexts = new Map<string, string>();
	private readonly _refs = new Map<string, string>();
	private _prepared: PreparedFleet | undefined;

	get fleet(): Fleet {
		assert.ok(this._prepared, 'the scenario has no fleet');
		return this._prepared.fleet;
	}

	get hasFleet(): boolean {
		return this._prepared !== undefined;
	}

	get engines(): readonly FleetBackend[] {
		return this.fleet.backends.filter(({daemon}) =>
			daemon.id.startsWith('engine'),
		);
	}

	get desks(): readonly FleetBackend[] {
		return this.fleet.backends.filter(({daemon}) =>
			daemon.id.startsWith('desk'),
		);
	}

	get entryIds(): readonly string[] {
		return this.fleet.entries.map(({daemon}) => daemon.id);
	}

	async takeFleet(
		entries: number,
		engines: number,
		services: number,
	): Promise<void> {
		assert.ok(this.pool);
		this._prepared = await this.pool.take(
			this._planOf(entries, engines, services),
		);
	}

	/** Identifier of an entry that is ready, in turn, as the platform's balancer picks them. */
	nextEntry(): string {
		assert.ok(this._prepared);
		return this._prepared.balancer.next();
	}

	/** Secret of the customer's key, issued at the first use. */
	async keyOf(customer: string): Promise<string> {
		assert.ok(this._prepared);
		const {fleet, keys} = this._prepared;
		const key = keys.get(customer) ?? (await fleet.issueKey(customer));
		keys.set(customer, key);
		return key.secret;
	}

	async keyIdOf(customer: string): Promise<string> {
		await this.keyOf(customer);
		const key = this._prepared?.keys.get(customer);
		assert.ok(key);
		return key.id;
	}

	/** Issues keys ahead and waits until each entry knows them, so that none has to be issued while a fault is on. */
	async prepareKeys(): Promise<void> {
		for (const customer of ['lakeshore', 'prairie', 'ringside']) {
			// Changes come one after the other, as operators racing each other would conflict.
			// eslint-disable-next-line no-await-in-loop
			await this.keyOf(customer);
		}

		await this.fleet.waitUntilAgreed();
	}

	/** Asks for a completion and checks nothing yet. */
	async askModel(ask: ModelAsk): Promise<TrackedCall> {
		const key = await this.keyOf(ask.customer);
		const ref = ask.ref ?? newRef();
		const prompt = `ref=${ref} ${ask.text ?? 'which roads first'}`;
		const result = await this.fleet.caller(ask.entryId, key).complete({
			model: ask.model,
			prompt,
			isStreamed: ask.isStreamed,
			maxTokens: ask.maxTokens ?? tokensOfShortAnswer,
			...(ask.deadlineMs !== undefined && {
				headers: {'x-request-timeout-ms': String(ask.deadlineMs)},
			}),
		});
		return {
			...ask,
			ref,
			kind: 'model',
			asked: {...this._servedAs(ask.model), prompt},
			result,
		};
	}

	/** Calls a plain service. */
	async callService(ask: ServiceAsk): Promise<TrackedCall> {
		const key = await this.keyOf(ask.customer);
		const ref = ask.ref ?? newRef();
		const result = await this.fleet.caller(ask.entryId, key).call({
			method: 'POST',
			path: `/services/${ask.route}/desk`,
			headers:
				ask.idempotencyKey === undefined
					? {}
					: {'idempotency-key': ask.idempotencyKey},
			body: {order: `ref=${ref}`, text: ask.text ?? 'twenty tons'},
		});
		return {
			...ask,
			ref,
			kind: ask.route === 'salt-orders' ? 'order' : 'check',
			isStreamed: false,
			result,
		};
	}

	/** Places a salt order under an idempotency key of its own. */
	async placeOrder(ask: Omit<ServiceAsk, 'route'>): Promise<TrackedCall> {
		const ref = ask.ref ?? newRef();
		return this.callService({
			idempotencyKey: `order-${ref}`,
			...ask,
			ref,
			route: 'salt-orders',
		});
	}

	/** Keeps a call that has not ended yet; its outcome joins the others when it does. */
	begin(call: Promise<TrackedCall>): void {
		const pending = this._collect(call);
		this.pending.add(pending);
		void pending.finally(() => {
			this.pending.delete(pending);
		});
	}

	/** Waits until every call that was begun has ended. */
	async settleCalls(): Promise<void> {
		await Promise.all(this.pending);
	}

	/** Stops all traffic and keeps its outcomes. */
	async stopTraffic(): Promise<void> {
		for (const traffic of this.traffic.splice(0)) {
			// Outcomes keep the order in which the traffic was started.
			// eslint-disable-next-line no-await-in-loop
			this.calls.push(...(await traffic.stop()));
		}
	}

	/** Passes time while traffic goes on. */
	async passTime(milliseconds: number): Promise<void> {
		await sleep(milliseconds);
	}

	/** Waits until back ends run at least this many requests. */
	async waitForRunning(least: number): Promise<void> {
		await waitUntil(`${least} requests run`, runningTimeoutMs, async () => {
			const truth = await this.groundTruth();
			const running = truth.total(
				({requests, completed, cancelled}) =>
					requests.length - completed - cancelled,
			);
			return running >= least;
		});
	}

	/** The daemon of an entry or agent. */
	daemon(id: string): DaemonHost {
		const {entries, backends} = this.fleet;
		const host = [...entries, ...backends].find(({daemon}) => daemon.id === id);
		assert.ok(host, `the fleet has no ${id}`);
		return host.daemon;
	}

	/** Makes up a reference for a labelled order. */
	newLabelledRef(label: string): string {
		const ref = newRef();
		this._refs.set(label, ref);
		return ref;
	}

	/** Reference of the labelled request, made up at the first use. */
	sameRef(label: string): string {
		return this._refs.get(label) ?? this.newLabelledRef(label);
	}

	refOf(label: string): string {
		const ref = this._refs.get(label);
		assert.ok(ref, `no order "${label}" was sent`);
		return ref;
	}

	/** Runs a command of the operators' client against an entry and keeps its result. */
	async operate(entryId: string, ...args: readonly string[]): Promise<void> {
		const result = await this.fleet.operator(entryId).run(...args);
		this.operatorResults.push(result);
	}

	/** Makes the next use of the customer's key issue a new one. */
	forgetKey(customer: string): void {
		this._prepared?.keys.delete(customer);
	}

	async groundTruth(): Promise<GroundTruth> {
		return GroundTruth.create(this.fleet);
	}

	/** Adds faults to those that a stand-in has already. */
	async addFaults(backend: FleetBackend, faults: EngineFaults): Promise<void> {
		const {id} = backend.daemon;
		const all = {...this.faults.get(id), ...faults};
		this.faults.set(id, all);
		await backend.standin.setFaults(all);
	}

	lastCall(): TrackedCall {
		const call = this.calls.at(-1);
		assert.ok(call, 'no call was made');
		return call;
	}

	/** The last call with the label. */
	labelled(label: string): readonly TrackedCall[] {
		const calls = this.calls.filter(call => call.label === label);
		assert.ok(calls.length > 0, `no call "${label}" was made`);
		return calls;
	}

	lastResult(): CallResult {
		return this.lastCall().result;
	}

	private async _collect(call: Promise<TrackedCall>): Promise<void> {
		this.calls.push(await call);
	}

	private _servedAs(model: string): {
		readonly servedName: string;
		readonly weights: string;
	} {
		const [adapter = model, named] = model.split('@');
		const version = named ?? this.currentVersions[adapter] ?? 'v1';
		return {
			servedName: `${adapter}@${version}`,
			weights: scenarioWeights(adapter, version),
		};
	}

	private _planOf(
		entries: number,
		engines: number,
		services: number,
	): FleetPlan {
		return {
			entries: numbered('entry', entries),
			backends: [
				...numbered('engine', engines).map((host): BackendPlan => ({
					...host,
					backend: {kind: 'engine', baseModel: scenarioBaseModel},
					flags: [...this.engineFlags],
					env: {...this.engineEnv},
				})),
				...numbered('desk', services).map((host): BackendPlan => ({
					...host,
					backend: {kind: 'service', service: scenarioService},
					flags: [...this.serviceFlags],
				})),
			],
		};
	}
}

function numbered(
	role: string,
	count: number,
): ReadonlyArray<{readonly id: string; readonly zone: string}> {
	return Array.from({length: count}, (_, i) => ({
		id: `${role}-${i + 1}`,
		zone: `zone-${i + 1}`,
	}));
}

/** Reference that no other call has. */
export function newRef(): string {
	return randomUUID().slice(0, 13);
}
