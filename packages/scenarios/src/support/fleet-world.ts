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
import {BackendRecords} from './backend-records.js';
import {
	scenarioBaseModel,
	scenarioService,
	getScenarioWeights,
	type CurrentVersions,
} from './scenario-document.js';
import type {TrackedCall} from './tracked-call.js';
import type {Traffic} from './traffic.js';

/** A completion request of a scenario. */
export type ModelRequest = {
	readonly customer: string;
	/** `ADAPTER` for its current version, or `ADAPTER@VERSION`. */
	readonly model: string;
	readonly entryId: string;
	readonly isStreamed: boolean;
	readonly maxTokens?: number;
	readonly text?: string;
	readonly deadlineMs?: number;
	/** Reference of an earlier request to repeat. A new one by default. */
	readonly ref?: string;
};

/** A plain service call of a scenario. */
export type ServiceRequest = {
	readonly customer: string;
	readonly entryId: string;
	readonly route: string;
	readonly label?: string;
	readonly text?: string;
	/** Reference of an earlier order to repeat. A new one by default. */
	readonly ref?: string;
	readonly idempotencyKey?: string;
};

const defaultMaxTokens = 8;
const runningTimeoutMs = 10_000;

/** State of one scenario: its fleet, its calls and their results. */
export class FleetWorld extends World {
	/** Set by the hooks, since the pool outlives the scenario. */
	pool: FleetPool | undefined;
	/** Whether the scenario changed the fleet in a way that a reset does not undo. */
	shouldDiscardFleet = false;
	/** Current versions by adapter, where they differ from `v1`. */
	currentVersions: CurrentVersions = {};
	readonly calls: TrackedCall[] = [];
	readonly pendingCalls = new Set<Promise<void>>();
	readonly traffic: Traffic[] = [];
	readonly engineFlags: string[] = [];
	readonly engineEnv: Record<string, string> = {};
	readonly serviceFlags: string[] = [];
	readonly operatorResults: OperatorResult[] = [];
	readonly extraChildren: Child[] = [];
	/** Customers whose key was withdrawn by the scenario. */
	readonly customersWithWithdrawnKey: string[] = [];
	/** Injected faults by backend ID. */
	readonly faults = new Map<string, EngineFaults>();
	/** Order texts by label. */
	readonly orderTexts = new Map<string, string>();
	/** References by label. */
	private readonly _refs = new Map<string, string>();
	private _prepared: PreparedFleet | undefined;

	get fleet(): Fleet {
		assert.ok(this._prepared, 'the scenario has no fleet');
		return this._prepared.fleet;
	}

	get hasFleet(): boolean {
		return this._prepared !== undefined;
	}

	get engineBackends(): readonly FleetBackend[] {
		return this.fleet.backends.filter(({daemon}) =>
			daemon.id.startsWith('engine'),
		);
	}

	/** The plain services. */
	get serviceBackends(): readonly FleetBackend[] {
		return this.fleet.backends.filter(({daemon}) =>
			daemon.id.startsWith('desk'),
		);
	}

	get entryIds(): readonly string[] {
		return this.fleet.entries.map(({daemon}) => daemon.id);
	}

	async acquireFleet(
		entries: number,
		engines: number,
		services: number,
	): Promise<void> {
		assert.ok(this.pool);
		this._prepared = await this.pool.acquire(
			this._createPlan(entries, engines, services),
		);
	}

	/** Returns the ID of the next ready entry in round-robin order, as the platform's load balancer does. */
	pickEntry(): string {
		assert.ok(this._prepared);
		return this._prepared.balancer.next();
	}

	/** Returns the secret of the customer's key. Issues the key at the first use. */
	async getKey(customer: string): Promise<string> {
		assert.ok(this._prepared);
		const {fleet, keys} = this._prepared;
		const key = keys.get(customer) ?? (await fleet.issueKey(customer));
		keys.set(customer, key);
		return key.secret;
	}

	/** Returns the ID of the customer's key. Issues the key at the first use. */
	async getKeyId(customer: string): Promise<string> {
		await this.getKey(customer);
		const key = this._prepared?.keys.get(customer);
		assert.ok(key);
		return key.id;
	}

	/** Issues the keys of all customers and waits until every entry has them, before the scenario injects faults. */
	async issueAllKeys(): Promise<void> {
		for (const customer of ['lakeshore', 'prairie', 'ringside']) {
			// Concurrent changes would conflict.
			// eslint-disable-next-line no-await-in-loop
			await this.getKey(customer);
		}

		await this.fleet.waitUntilConfigConverged();
	}

	/** Sends a completion request. Does not check the response. */
	async callModel(req: ModelRequest): Promise<TrackedCall> {
		const key = await this.getKey(req.customer);
		const ref = req.ref ?? createRef();
		const prompt = `ref=${ref} ${req.text ?? 'which roads first'}`;
		const result = await this.fleet.caller(req.entryId, key).complete({
			model: req.model,
			prompt,
			isStreamed: req.isStreamed,
			maxTokens: req.maxTokens ?? defaultMaxTokens,
			...(req.deadlineMs !== undefined && {
				headers: {'x-request-timeout-ms': String(req.deadlineMs)},
			}),
		});
		return {
			...req,
			ref,
			kind: 'model',
			expected: {...this._getExpectedModel(req.model), prompt},
			result,
		};
	}

	/** Calls a plain service. Does not check the response. */
	async callService(req: ServiceRequest): Promise<TrackedCall> {
		const key = await this.getKey(req.customer);
		const ref = req.ref ?? createRef();
		const result = await this.fleet.caller(req.entryId, key).call({
			method: 'POST',
			path: `/services/${req.route}/desk`,
			headers:
				req.idempotencyKey === undefined
					? {}
					: {'idempotency-key': req.idempotencyKey},
			body: {order: `ref=${ref}`, text: req.text ?? 'twenty tons'},
		});
		return {
			...req,
			ref,
			kind: req.route === 'salt-orders' ? 'order' : 'check',
			isStreamed: false,
			result,
		};
	}

	/** Places a salt order. The idempotency key is derived from the reference by default. */
	async placeOrder(req: Omit<ServiceRequest, 'route'>): Promise<TrackedCall> {
		const ref = req.ref ?? createRef();
		return this.callService({
			idempotencyKey: `order-${ref}`,
			...req,
			ref,
			route: 'salt-orders',
		});
	}

	/** Tracks a call in flight and adds it to `calls` when it ends. */
	trackCall(call: Promise<TrackedCall>): void {
		const pending = this._storeResult(call);
		this.pendingCalls.add(pending);
		void pending.finally(() => {
			this.pendingCalls.delete(pending);
		});
	}

	/** Waits until all tracked calls have ended. */
	async waitForCalls(): Promise<void> {
		await Promise.all(this.pendingCalls);
	}

	/** Stops all traffic and adds its calls to `calls`. */
	async stopTraffic(): Promise<void> {
		for (const traffic of this.traffic.splice(0)) {
			// Keeps the calls in the order in which the traffic was started.
			// eslint-disable-next-line no-await-in-loop
			this.calls.push(...(await traffic.stop()));
		}
	}

	/** Waits while traffic continues. */
	async wait(milliseconds: number): Promise<void> {
		await sleep(milliseconds);
	}

	/** Waits until at least `minCount` requests are running on the backends. */
	async waitForRunning(minCount: number): Promise<void> {
		await waitUntil(
			`${minCount} requests are running`,
			runningTimeoutMs,
			async () => {
				const records = await this.readBackendRecords();
				const running = records.sumCounts(
					({requests, completed, cancelled}) =>
						requests.length - completed - cancelled,
				);
				return running >= minCount;
			},
		);
	}

	/** Returns the daemon of an entry or agent. Throws if the ID is unknown. */
	daemon(id: string): DaemonHost {
		const {entries, backends} = this.fleet;
		const host = [...entries, ...backends].find(({daemon}) => daemon.id === id);
		assert.ok(host, `the fleet has no host "${id}"`);
		return host.daemon;
	}

	/** Creates a reference for a label and replaces an earlier one. */
	createLabelledRef(label: string): string {
		const ref = createRef();
		this._refs.set(label, ref);
		return ref;
	}

	/** Returns the reference of a label. Creates it at the first use. */
	getOrCreateLabelledRef(label: string): string {
		return this._refs.get(label) ?? this.createLabelledRef(label);
	}

	/** Returns the reference of a label. Throws if there is none. */
	getLabelledRef(label: string): string {
		const ref = this._refs.get(label);
		assert.ok(ref, `no order with the label "${label}" was sent`);
		return ref;
	}

	/** Runs a command of the command-line client on an entry and adds its result to `operatorResults`. */
	async runOperatorCommand(
		entryId: string,
		...args: readonly string[]
	): Promise<void> {
		const result = await this.fleet.operator(entryId).run(...args);
		this.operatorResults.push(result);
	}

	/** Drops the customer's key, so that its next use issues a new one. */
	forgetKey(customer: string): void {
		this._prepared?.keys.delete(customer);
	}

	/** Reads the current records of all backends. */
	async readBackendRecords(): Promise<BackendRecords> {
		return BackendRecords.create(this.fleet);
	}

	/** Injects faults in addition to those that are already injected in the stand-in. */
	async addFaults(backend: FleetBackend, faults: EngineFaults): Promise<void> {
		const {id} = backend.daemon;
		const all = {...this.faults.get(id), ...faults};
		this.faults.set(id, all);
		await backend.standin.setFaults(all);
	}

	/** Returns the last ended call. Throws if there is none. */
	getLastCall(): TrackedCall {
		const call = this.calls.at(-1);
		assert.ok(call, 'no call was made');
		return call;
	}

	/** Returns all ended calls with the label. Throws if there is none. */
	getLabelledCalls(label: string): readonly TrackedCall[] {
		const calls = this.calls.filter(call => call.label === label);
		assert.ok(calls.length > 0, `no call with the label "${label}" was made`);
		return calls;
	}

	getLastResult(): CallResult {
		return this.getLastCall().result;
	}

	private async _storeResult(call: Promise<TrackedCall>): Promise<void> {
		this.calls.push(await call);
	}

	private _getExpectedModel(model: string): {
		readonly servedName: string;
		readonly weights: string;
	} {
		const [adapter = model, requestedVersion] = model.split('@');
		const version = requestedVersion ?? this.currentVersions[adapter] ?? 'v1';
		return {
			servedName: `${adapter}@${version}`,
			weights: getScenarioWeights(adapter, version),
		};
	}

	private _createPlan(
		entries: number,
		engines: number,
		services: number,
	): FleetPlan {
		return {
			entries: createNumberedHosts('entry', entries),
			backends: [
				...createNumberedHosts('engine', engines).map((host): BackendPlan => ({
					...host,
					backend: {kind: 'engine', baseModel: scenarioBaseModel},
					flags: [...this.engineFlags],
					env: {...this.engineEnv},
				})),
				...createNumberedHosts('desk', services).map((host): BackendPlan => ({
					...host,
					backend: {kind: 'service', service: scenarioService},
					flags: [...this.serviceFlags],
				})),
			],
		};
	}
}

function createNumberedHosts(
	role: string,
	count: number,
): ReadonlyArray<{readonly id: string; readonly zone: string}> {
	return Array.from({length: count}, (_, i) => ({
		id: `${role}-${i + 1}`,
		zone: `zone-${i + 1}`,
	}));
}

/** Creates a unique reference for a call. */
export function createRef(): string {
	return randomUUID().slice(0, 13);
}
