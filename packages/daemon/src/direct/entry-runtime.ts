import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	AuthorityView,
	ClockGuard,
	FleetView,
	FreshnessLease,
	QuotaLedger,
	RetryAllowance,
	SuspectRegistry,
	type AuthorityChange,
	type AuthorityRow,
	type ServerChange,
	type ServiceSpec,
	type ShutdownProgress,
} from '@balsamtray/core';
import type {GossipMessage} from '@balsamtray/protocol';
import type {Disposable} from '../common/types.js';
import type {CallContext} from './call-context.js';
import {
	authorityWaitMs,
	graceMarginMs,
	leaveDelayMs,
	membersIntervalMs,
	membersWaitMs,
	serversIntervalMs,
	storeBackoffMs,
	storeTimeoutMs,
} from './constants.js';
import {DatagramSocket} from './datagram-socket.js';
import {DirectMetrics} from './direct-metrics.js';
import {EngineLinks} from './engine-links.js';
import {EntryPeers} from './entry-peers.js';
import {type EventLog} from './event-log.js';
import {HttpClient} from './http-client.js';
import {Ingress} from './ingress.js';
import {KeyCounts} from './key-counts.js';
import {TableWatch, type TableWatchOptions} from './table-watch.js';
import {TextServer, type TextAnswer} from './text-server.js';
import type {
	CallCodec,
	Endpoint,
	EntrySettings,
	EntryStore,
	TableRead,
} from './types.js';
import {Upstream} from './upstream.js';
import {WaitingLine} from './waiting-line.js';

export type EntryRuntimeOptions = {
	readonly settings: EntrySettings;
	readonly store: EntryStore;
	readonly codec: CallCodec;
	readonly log: EventLog;
};

/** Steady clock in milliseconds. */
const clock = () => performance.now();

/** Share of a server's connections that an entry may open, beside the even one: callers spread unevenly. */
const connectionShare = 0.9;

/** Entries among which a server's connections are split at least, with room for new ones. */
const leastConnectionEntries = 8;

/** Connections to a server until its service is known. */
const startConnections = 8;

/** An entry that follows an outside authority and sends requests to servers directly. */
export class EntryRuntime {
	static create(options: EntryRuntimeOptions): EntryRuntime {
		return new EntryRuntime(options);
	}

	private readonly _authority = AuthorityView.create();
	private readonly _guard = ClockGuard.create(performance.now(), Date.now());
	private readonly _lease: FreshnessLease | undefined;
	private readonly _ledger: QuotaLedger;
	private readonly _fleet: FleetView;
	private readonly _peers: EntryPeers;
	private readonly _links: EngineLinks;
	private readonly _upstream = Upstream.create();
	private readonly _waiting = WaitingLine.create();
	private readonly _inTurn = KeyCounts.create();
	private readonly _suspects = SuspectRegistry.create();
	private readonly _client = HttpClient.create(1);
	private readonly _metrics = DirectMetrics.create(() => this._waiting.size);
	private readonly _retries = new Map<string, RetryAllowance>();
	private readonly _ingress: Ingress;
	private readonly _watches: Disposable[] = [];
	private _socket: DatagramSocket | undefined;
	private _hasServers = false;
	private _stoppingSince: number | undefined;
	private _wasReady: boolean | undefined;

	private constructor(private readonly _options: EntryRuntimeOptions) {
		const {settings} = _options;
		const {bounds} = settings;
		this._lease =
			bounds.revokeMs === undefined
				? undefined
				: FreshnessLease.create(bounds.revokeMs);
		this._ledger = QuotaLedger.create({
			isFirstStart: settings.isFirstStart,
			slackUnits: bounds.quotaSlackUnits,
			now: clock(),
		});
		this._peers = this._createPeers();
		this._fleet = this._createFleet();
		this._links = EngineLinks.create({
			fleet: this._fleet,
			clock,
			serviceOf: name => this._serviceOf(name),
			agentPort: settings.agentPort,
			waitingFor: adapter =>
				this._waiting.waitingFor(adapter) + this._inTurn.count(adapter),
			send: (message, to) => {
				this._send(message, to);
			},
			onReport: () => {
				this._waiting.wake();
			},
			onLost: (dependency, err) => {
				this._onLost(dependency, err);
			},
			onRegained: (dependency, lostForMs) => {
				this._onRegained(dependency, lostForMs);
			},
		});
		this._ingress = Ingress.create(this._createContext());
	}

	/** Opens the sockets and follows the store. */
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
		await TextServer.listen(settings.ready, () => this._answerReady());
		await TextServer.listen(settings.peer, path => this._answerPeer(path));
		await TextServer.listen(settings.metrics, async () =>
			this._metrics.answer(),
		);
		await this._ingress.listen(settings.front);
		this._followTables();
		this._peers.start();
		this._links.start();
		void this._join();
		log.write({
			event: 'started',
			role: 'entry',
			isFirstStart: settings.isFirstStart,
		});
	}

	/** Lets callers go elsewhere, finishes what runs, and resolves when the process may end. */
	async stop(): Promise<void> {
		const {settings, log, store} = this._options;
		const startedAt = clock();
		this._stoppingSince = startedAt;
		log.write({event: 'stopping', running: this._ingress.running});
		const endAt = startedAt + this._shutdownMs;
		await delay(leaveDelayMs);
		while (
			clock() < endAt &&
			(this._ingress.running > 0 || this._ingress.connections > 0)
		) {
			this._ingress.closeIdle();
			// Looks again until nothing runs.
			// eslint-disable-next-line no-await-in-loop
			await delay(50);
		}

		for (const watch of this._watches) {
			watch.dispose();
		}

		await Promise.race([
			store.leave(settings.hostId).catch((error: unknown) => {
				this._onError('leave', error);
			}),
			delay(graceMarginMs / 2),
		]);
		log.write({
			event: 'stopped',
			cut: this._ingress.running,
			afterMs: Math.round(clock() - startedAt),
		});
	}

	/** Time from the signal to stop until the process ends by itself. */
	private get _shutdownMs(): number {
		return this._options.settings.bounds.graceMs - graceMarginMs;
	}

	private _shutdown(): ShutdownProgress | undefined {
		if (this._stoppingSince === undefined) {
			return undefined;
		}

		const sinceMs = clock() - this._stoppingSince;
		return {sinceMs, leftMs: this._shutdownMs - sinceMs};
	}

	private _createContext(): CallContext {
		const {codec, log} = this._options;
		return {
			clock,
			authority: this._authority,
			fleet: this._fleet,
			peers: this._peers,
			links: this._links,
			suspects: this._suspects,
			upstream: this._upstream,
			waiting: this._waiting,
			inTurn: this._inTurn,
			codec,
			log,
			metrics: this._metrics,
			isFresh: () => this._isFresh(),
			proofAgeMs: () => this._proofAgeMs(),
			retries: service => this._retriesOf(service),
			maxConnections: service => this._connectionsTo(service),
			draw: Math.random,
			shutdown: () => this._shutdown(),
		};
	}

	private _createFleet(): FleetView {
		const {settings} = this._options;
		return FleetView.create({
			zone: settings.zone,
			isZoneOut: zone => this._authority.isZoneOut(zone),
			declaredVersion: (model, adapter) =>
				this._authority.declaredVersion(model, adapter),
			serviceOf: name => this._serviceOf(name),
			coldBound: settings.bounds.coldBound,
			entryCount: () => this._peers.entryCount,
			onNewWant: server => {
				this._links.demandOf(server);
			},
		});
	}

	private _createPeers(): EntryPeers {
		const {settings} = this._options;
		return EntryPeers.create({
			hostId: settings.hostId,
			clock,
			epoch: () => this._guard.epoch,
			ledger: this._ledger,
			send: (message, to) => {
				this._send(message, to);
			},
			authorityVersion: () => this._authority.version,
			provenAt: () => this._lease?.provenAt ?? Number.NEGATIVE_INFINITY,
			onProof: (provenAt, epoch) => {
				this._lease?.prove(provenAt, epoch);
			},
			fetchStatements: async endpoint => this._fetchStatements(endpoint),
			onStatements: (rows, from) => {
				this._onAuthority(this._authority.apply(rows, clock()), from);
			},
			onLost: (dependency, err) => {
				this._onLost(dependency, err);
			},
			onRegained: (dependency, lostForMs) => {
				this._onRegained(dependency, lostForMs);
			},
			onError: (step, error) => {
				this._onError(step, error);
			},
		});
	}

	private _followTables(): void {
		const {store} = this._options;
		this._follow({
			name: 'authority',
			source: store.authority,
			waitMs: authorityWaitMs,
			intervalMs: 0,
			onRead: (...read) => {
				this._onAuthorityRead(...read);
			},
		});
		this._follow({
			name: 'servers',
			source: store.servers,
			waitMs: 0,
			intervalMs: serversIntervalMs,
			onRead: read => {
				this._onServersRead(read);
			},
		});
		this._follow({
			name: 'members',
			source: store.members,
			waitMs: membersWaitMs,
			intervalMs: membersIntervalMs,
			onRead: ({rows}, isWhole) => {
				this._peers.setMembers(rows, isWhole);
			},
		});
	}

	private _follow<Row>(
		followed: Pick<
			TableWatchOptions<Row>,
			'name' | 'source' | 'waitMs' | 'intervalMs' | 'onRead'
		>,
	): void {
		const watch = TableWatch.create<Row>({
			...followed,
			clock,
			epoch: () => this._guard.epoch,
			onRead: (...read) => {
				this._look();
				followed.onRead(...read);
			},
			onTimed: (outcome, forMs) => {
				this._metrics.noteStoreRead(followed.name, outcome, forMs);
			},
			onLost: (table, err) => {
				this._onLost(table, err);
			},
			onRegained: (table, lostForMs) => {
				this._onRegained(table, lostForMs);
				this._fleet.noteOutageEnd(clock());
			},
		});
		this._watches.push(watch);
		void watch.run();
	}

	private _onAuthorityRead(
		read: TableRead<AuthorityRow>,
		isWhole: boolean,
		startedAt: number,
		epoch: number,
	): void {
		const now = clock();
		const change = isWhole
			? this._authority.applyAll(read.rows, read.version, now)
			: this._authority.apply(read.rows, now);
		this._lease?.prove(startedAt, epoch);
		this._onAuthority(change, 'store');
	}

	private _onAuthority(change: AuthorityChange, source: string): void {
		const {log} = this._options;
		const {inForce, version} = this._authority;
		if (change.hasNewConfig && inForce !== undefined) {
			this._ingress.setLimits(inForce.config.limits);
			log.write({
				event: 'configInForce',
				version: inForce.config.version,
				source,
			});
		} else if (change.hasChanged) {
			log.write({event: 'authorityChanged', rowVersion: version, source});
		}

		if (change.hasChanged) {
			this._waiting.wake();
		}
	}

	private _onServersRead(read: TableRead<ServerChange>): void {
		const now = clock();
		const before = this._serverStates();
		if (this._hasServers) {
			this._fleet.apply(read.rows, now);
		} else {
			this._fleet.applyAll(read.rows, read.version, now);
			this._hasServers = true;
		}

		this._logServers(before);
		this._upstream.keepOnly(
			new Set([...this._fleet.servers()].map(({record}) => record.id)),
		);
		this._waiting.wake();
	}

	private _serverStates(): ReadonlyMap<string, string> {
		return new Map(
			[...this._fleet.servers()].map(({record, vanishedAt}) => [
				record.id,
				vanishedAt === undefined
					? record.isDraining
						? 'draining'
						: 'ready'
					: 'vanished',
			]),
		);
	}

	private _logServers(before: ReadonlyMap<string, string>): void {
		const {log} = this._options;
		const after = this._serverStates();
		for (const [server, state] of after) {
			if (before.get(server) !== state) {
				log.write({event: 'serverChanged', server, state});
			}
		}

		for (const server of before.keys()) {
			if (!after.has(server)) {
				log.write({event: 'serverChanged', server, state: 'gone'});
			}
		}
	}

	/** Lists this entry for the others. */
	private async _join(): Promise<void> {
		const {store, settings} = this._options;
		for (;;) {
			try {
				// Tries until the store answers.
				// eslint-disable-next-line no-await-in-loop
				await store.join({id: settings.hostId, endpoint: settings.peer});
				return;
			} catch (error) {
				this._onError('join', error);
				// eslint-disable-next-line no-await-in-loop
				await delay(storeBackoffMs.longest);
			}
		}
	}

	private _onMessage(message: GossipMessage, from: Endpoint): void {
		this._look();
		switch (message.type) {
			case 'entry': {
				this._peers.onBeat(message);
				break;
			}

			case 'quotaAsk': {
				this._onQuotaAsk(message, from);
				break;
			}

			case 'quotaAnswer': {
				this._peers.onQuotaAnswer(message.askId, message.grant);
				break;
			}

			case 'quotaReturn': {
				this._ledger.giveBack(message.customer, message.units, clock());
				break;
			}

			case 'suspect': {
				const {fingerprint, server} = message;
				this._suspects.noteCrash([fingerprint], server, clock());
				break;
			}

			case 'report': {
				this._links.onReport(message.server, message.report);
				break;
			}

			case 'turnAnswer': {
				this._links.onTurnAnswer(message.askId, message.delayMs);
				break;
			}

			// For agents.
			case 'turnAsk':
			case 'turnReturn':
			case 'demand': {
				break;
			}
		}
	}

	private _onQuotaAsk(
		{askId, customer, units}: Extract<GossipMessage, {type: 'quotaAsk'}>,
		from: Endpoint,
	): void {
		const rule = this._authority.inForce?.config.customers?.find(
			({name}) => name === customer,
		);
		if (rule !== undefined && this._peers.isOwner(customer)) {
			const grant = this._ledger.take(rule, units, clock());
			this._send({type: 'quotaAnswer', askId, grant}, from);
		}
	}

	private _isFresh(): boolean {
		this._look();
		return this._lease?.isFresh(clock()) ?? true;
	}

	private _proofAgeMs(): number | undefined {
		const age = this._lease?.ageMs(clock());
		return age !== undefined && Number.isFinite(age) ? age : undefined;
	}

	/** Proofs and levels count for nothing after the steady clock may have stood still. */
	private _look(): void {
		const now = clock();
		if (this._guard.look(now, Date.now())) {
			this._lease?.invalidate(this._guard.epoch);
			this._ledger.forget(now);
			this._options.log.write({
				event: 'suspended',
				epoch: this._guard.epoch,
			});
		}
	}

	private _serviceOf(name: string): ServiceSpec | undefined {
		return this._authority.inForce?.services.get(name);
	}

	private _retriesOf(service: string): RetryAllowance {
		let retries = this._retries.get(service);
		if (retries === undefined) {
			retries = RetryAllowance.create(this._options.settings.bounds.retry);
			this._retries.set(service, retries);
		}

		return retries;
	}

	private _connectionsTo(service: string): number {
		const spec = this._serviceOf(service);
		const entries = Math.max(this._peers.entryCount, leastConnectionEntries);
		return spec === undefined
			? startConnections
			: Math.max(
					1,
					Math.floor((spec.maxConnections * connectionShare) / entries),
				);
	}

	private _answerReady(): TextAnswer {
		const reason = this._unreadyReason();
		const isReady = reason === undefined;
		if (isReady !== this._wasReady) {
			this._wasReady = isReady;
			this._options.log.write({
				event: 'readiness',
				isReady,
				reason: reason ?? 'serves',
			});
		}

		return text(isReady ? 200 : 503, reason ?? 'ready');
	}

	private _unreadyReason(): string | undefined {
		if (this._stoppingSince !== undefined) {
			return 'stopping';
		}

		if (this._authority.inForce === undefined) {
			return 'no configuration';
		}

		if (!this._hasServers) {
			return 'no servers';
		}

		return this._isFresh() ? undefined : 'configuration stale';
	}

	private _answerPeer(path: string): TextAnswer {
		return path === statementsPath
			? {
					status: 200,
					contentType: 'application/json',
					body: JSON.stringify(this._authority.rows()),
				}
			: text(404, 'not found');
	}

	private async _fetchStatements(
		endpoint: Endpoint,
	): Promise<readonly AuthorityRow[]> {
		const {status, body} = await this._client.call({
			endpoint,
			method: 'GET',
			path: statementsPath,
			timeoutMs: storeTimeoutMs,
		});
		if (status !== 200) {
			throw new Error(`statements of ${endpoint.host}: status ${status}`);
		}

		const rows: unknown = JSON.parse(body);
		if (!Array.isArray(rows)) {
			throw new TypeError(`statements of ${endpoint.host}: not a list`);
		}

		return rows as readonly AuthorityRow[];
	}

	private _send(message: GossipMessage, to: Endpoint): void {
		this._socket?.send(message, to);
	}

	private _onLost(dependency: string, err: unknown): void {
		this._options.log.write({
			event: 'dependencyLost',
			dependency,
			error: String(err),
		});
	}

	private _onRegained(dependency: string, lostForMs: number): void {
		this._options.log.write({
			event: 'dependencyRegained',
			dependency,
			lostForMs: Math.round(lostForMs),
		});
	}

	private _onError(step: string, error: unknown): void {
		this._options.log.write({event: 'error', step, error: String(error)});
	}
}

/** Path of the statements that entries hand to each other. */
const statementsPath = '/statements';

/** Ends the process after its runtime has stopped on a signal. */
export function stopOnSignal(runtime: {
	readonly stop: () => Promise<void>;
}): void {
	process.once('SIGTERM', () => {
		void runtime.stop().then(() => {
			process.exit(0);
		});
	});
}

function text(status: number, body: string): TextAnswer {
	return {status, contentType: 'text/plain', body};
}
