import {randomBytes} from 'node:crypto';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {Host, HostState} from '@balsamtray/core';
import {Caller} from './caller.js';
import {DaemonHost} from './daemon-host.js';
import type {BackendPlan, EntryPlan, FleetPlan} from './fleet-options.js';
import {freePorts} from './free-ports.js';
import {Operator, type IssuedKey} from './operator.js';
import {Platform} from './platform.js';
import {Standin} from './standin.js';
import {respondsWithOk, waitUntil} from './wait-until.js';

const ip = '127.0.0.1';
const region = 'lakes';
const operatorName = 'harness';
const stopGraceMs = 2000;
/** Below the 60 s step timeout, so a failed start still reports its cause and stops its processes. */
const startTimeoutMs = 25_000;

/** An entry of a fleet. */
export type FleetEntry = {
	readonly daemon: DaemonHost;
	/** URL of the caller API. */
	readonly url: string;
	/** URL of the operator API. */
	readonly operatorUrl: string;
};

/** A backend server of a fleet: its agent and the stand-in beside it. */
export type FleetBackend = {
	readonly daemon: DaemonHost;
	readonly standin: Standin;
};

/** A running fleet: the platform's stand-ins, the entries and the agents with their backends. */
export class Fleet {
	/** Starts a fleet and waits until every entry is live. Stops all processes if the start fails. */
	static async create(plan: FleetPlan): Promise<Fleet> {
		const fleet = new Fleet(plan, await Platform.create());
		try {
			await fleet._start();
			return fleet;
		} catch (error) {
			await fleet.stop();
			throw error;
		}
	}

	readonly platform: Platform;
	private readonly _plan: FleetPlan;
	private readonly _entries = new Map<string, FleetEntry>();
	private readonly _backends = new Map<string, FleetBackend>();
	private readonly _hostStates = new Map<string, HostState>();
	private readonly _callers = new Map<string, Caller>();
	private readonly _operatorKey = randomBytes(16).toString('hex');
	private _directory: string | undefined;
	private _initialDocumentDigest: string | undefined;

	private constructor(plan: FleetPlan, platform: Platform) {
		this._plan = plan;
		this.platform = platform;
	}

	get entries(): readonly FleetEntry[] {
		return [...this._entries.values()];
	}

	get backends(): readonly FleetBackend[] {
		return [...this._backends.values()];
	}

	entry(id: string): FleetEntry {
		return getOrThrow(this._entries, id);
	}

	backend(id: string): FleetBackend {
		return getOrThrow(this._backends, id);
	}

	/** Returns the operator of an entry; of the first entry by default. */
	operator(entryId?: string): Operator {
		const entry = entryId === undefined ? this.entries[0] : this.entry(entryId);
		if (entry === undefined) {
			throw new Error('the fleet has no entry');
		}

		return Operator.create(entry.operatorUrl, this._operatorKey);
	}

	/** Returns the HTTP client for an entry and a key. Clients are cached, so each key reuses its connections. */
	caller(entryId: string, key?: string): Caller {
		const name = `${entryId} ${key ?? ''}`;
		const {url} = this.entry(entryId);
		const caller =
			this._callers.get(name) ??
			Caller.create({url, ...(key !== undefined && {key})});
		this._callers.set(name, caller);
		return caller;
	}

	/** Digest of the first applied document; undefined before. */
	get initialDocumentDigest(): string | undefined {
		return this._initialDocumentDigest;
	}

	/** Applies a document and waits until every running process is ready. */
	async applyDocument(text: string): Promise<void> {
		await this.operator().applyDocument(
			await this.writeFile('document.yaml', text),
		);
		await this.waitUntilReady();
		this._initialDocumentDigest ??= await this.operator().documentDigest();
	}

	async issueKey(customer: string): Promise<IssuedKey> {
		return this.operator().issueKey(customer);
	}

	/** Writes a temporary file for the command-line client and returns its path. */
	async writeFile(name: string, text: string): Promise<string> {
		this._directory ??= await mkdtemp(path.join(tmpdir(), 'balsamtray-'));
		const file = path.join(this._directory, name);
		await writeFile(file, text);
		return file;
	}

	async waitUntilReady(): Promise<void> {
		const daemons = this._allDaemons().filter(daemon => daemon.isRunning);
		await Promise.all(daemons.map(async daemon => daemon.waitUntilReady()));
	}

	/** Waits until all running entries have the same configuration version. */
	async waitUntilConfigConverged(): Promise<void> {
		const ids = this.entries
			.filter(({daemon}) => daemon.isRunning)
			.map(({daemon}) => daemon.id);
		await waitUntil(
			'entries have the same configuration',
			startTimeoutMs,
			async () => {
				const versions = await Promise.all(
					ids.map(async id => this.operator(id).configVersion()),
				);
				return new Set(versions).size === 1;
			},
		);
	}

	/** Changes a host's state in the platform's host list; `undefined` removes the host. */
	async setHostState(id: string, state: HostState | undefined): Promise<void> {
		if (state === undefined) {
			this._hostStates.delete(id);
		} else {
			this._hostStates.set(id, state);
		}

		await this._publishHosts();
	}

	/** Stops all processes of the fleet and deletes its temporary files. */
	async stop(): Promise<void> {
		await Promise.all(
			[...this._callers.values()].map(async caller => caller.close()),
		);
		await Promise.all(
			this._allDaemons().map(async daemon => daemon.stop(stopGraceMs)),
		);
		const standins = [
			...this.backends.map(({standin}) => standin),
			...this.platform.standins,
		];
		await Promise.all(standins.map(async standin => standin.child.stop()));
		if (this._directory !== undefined) {
			await rm(this._directory, {recursive: true});
			this._directory = undefined;
		}
	}

	// False positive: `create` calls this method.
	// eslint-disable-next-line @typescript-eslint/no-unused-private-class-members
	private async _start(): Promise<void> {
		const {entries, backends} = this._plan;
		await Promise.all(backends.map(async backend => this._addBackend(backend)));
		await Promise.all(entries.map(async entry => this._addEntry(entry)));
		for (const daemon of this._allDaemons()) {
			this._hostStates.set(daemon.id, 'live');
		}

		await this._publishHosts();
		for (const daemon of this._allDaemons()) {
			daemon.start();
		}

		await Promise.all(
			this.entries.map(async entry =>
				waitUntil(`${entry.daemon.id} is live`, startTimeoutMs, async () => {
					if (!entry.daemon.isRunning) {
						const output = entry.daemon.child.lines.join('\n');
						throw new Error(`${entry.daemon.id} exited:\n${output}`);
					}

					return respondsWithOk(`${entry.url}/livez`);
				}),
			),
		);
	}

	private async _addEntry(plan: EntryPlan): Promise<void> {
		const [port, operatorPort, peerPort] = await freePorts(3);
		const {id, zone, env = {}} = plan;
		const url = `http://${ip}:${port}`;
		const daemon = DaemonHost.create({
			role: 'entry',
			host: {
				role: 'entry',
				id,
				zone,
				region,
				peerAddress: `${ip}:${peerPort}`,
				state: 'live',
			},
			readyUrl: `${url}/readyz`,
			env: {
				...this._createCommonEnv(id, zone, `${ip}:${peerPort}`),
				BALSAMTRAY_LISTEN: `${ip}:${port}`,
				BALSAMTRAY_OPERATOR_LISTEN: `${ip}:${operatorPort}`,
				BALSAMTRAY_OPERATOR_KEYS: `${operatorName}:change:${this._operatorKey}`,
				...env,
			},
		});
		this._entries.set(id, {
			daemon,
			url,
			operatorUrl: `http://${ip}:${operatorPort}`,
		});
	}

	private async _addBackend(plan: BackendPlan): Promise<void> {
		const {id, zone, backend, flags = [], env = {}} = plan;
		const weightFlags =
			this._plan.hasWeightStore && backend.kind === 'engine'
				? ['--weights-url', this.platform.weights.url]
				: [];
		const standin = await Standin.create(`${id} backend`, backend.kind, [
			...backendFlags(backend),
			...weightFlags,
			...flags,
		]);
		const [peerPort] = await freePorts(1);
		const peerAddress = `${ip}:${peerPort}`;
		const daemon = DaemonHost.create({
			role: 'agent',
			host: {
				role: 'agent',
				id,
				zone,
				region,
				peerAddress,
				state: 'live',
				backend,
			},
			readyUrl: `http://${peerAddress}/readyz`,
			env: {
				...this._createCommonEnv(id, zone, peerAddress),
				...createBackendEnv(backend),
				BALSAMTRAY_BACKEND_URL: standin.url,
				...env,
			},
		});
		this._backends.set(id, {daemon, standin});
	}

	private _createCommonEnv(
		id: string,
		zone: string,
		peerAddress: string,
	): Readonly<Record<string, string>> {
		return {
			...this.platform.env,
			BALSAMTRAY_HOST_ID: id,
			BALSAMTRAY_ZONE: zone,
			BALSAMTRAY_REGION: region,
			BALSAMTRAY_PEER_LISTEN: peerAddress,
			BALSAMTRAY_ENVIRONMENT: this._plan.environment ?? 'trial',
		};
	}

	private _allDaemons(): readonly DaemonHost[] {
		return [...this.entries, ...this.backends].map(({daemon}) => daemon);
	}

	private async _publishHosts(): Promise<void> {
		const hosts = this._allDaemons().flatMap((daemon): readonly Host[] => {
			const state = this._hostStates.get(daemon.id);
			return state === undefined ? [] : [{...daemon.host, state}];
		});
		await this.platform.setHosts(hosts);
	}
}

function backendFlags(backend: BackendPlan['backend']): readonly string[] {
	return backend.kind === 'engine'
		? ['--base-model', backend.baseModel]
		: ['--name', backend.service];
}

function createBackendEnv(
	backend: BackendPlan['backend'],
): Readonly<Record<string, string>> {
	return backend.kind === 'engine'
		? {
				BALSAMTRAY_BACKEND_KIND: 'engine',
				BALSAMTRAY_BASE_MODEL: backend.baseModel,
			}
		: {
				BALSAMTRAY_BACKEND_KIND: 'service',
				BALSAMTRAY_SERVICE: backend.service,
			};
}

function getOrThrow<T>(map: ReadonlyMap<string, T>, id: string): T {
	const item = map.get(id);
	if (item === undefined) {
		throw new Error(`the fleet has no host "${id}"`);
	}

	return item;
}
