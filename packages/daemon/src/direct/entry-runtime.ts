import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	AuthorityView,
	FleetView,
	maxProofWaitMs,
	maxRelayedMembersAgeMs,
	maxRelayedProofAgeMs,
	maxRelayedServersAgeMs,
	msUntilRead,
	QuotaLedger,
	RetryAllowance,
	SuspectRegistry,
	type AuthorityChange,
	type AuthorityRow,
	type ServerChange,
	type ServiceSpec,
} from '@balsamtray/core';
import type {GossipMessage} from '@balsamtray/protocol';
import type {Disposable} from '../common/types.js';
import type {CallContext} from './call-context.js';
import {
	authorityWaitMs,
	graceMarginMs,
	membersIntervalMs,
	membersWaitMs,
	relayedReadRetryMs,
	serversIntervalMs,
	stallCheckIntervalMs,
	staleMembersAgeMs,
	staleServersAgeMs,
	storeBackoffMs,
	storeTimeoutMs,
} from './constants.js';
import {DatagramSocket} from './datagram-socket.js';
import {DirectMetrics} from './direct-metrics.js';
import {AgentClient} from './agent-client.js';
import {EntryPeers} from './entry-peers.js';
import {EntryShutdown} from './entry-shutdown.js';
import type {EventLog} from './event-log.js';
import {FreshnessMonitor} from './freshness-monitor.js';
import {Ingress} from './ingress.js';
import {KeyCounts} from './key-counts.js';
import {QuotaResponder} from './quota-responder.js';
import {RelayedTable} from './relayed-table.js';
import {ServerLog} from './server-log.js';
import {StallMonitor} from './stall-monitor.js';
import {TableExchange} from './table-exchange.js';
import {TableWatch, type TableWatchOptions} from './table-watch.js';
import {TextServer, type TextResponse} from './text-server.js';
import type {
	CallCodec,
	Endpoint,
	EntryBounds,
	EntrySettings,
	EntryStore,
	MemberRow,
	TableRead,
} from './types.js';
import {Upstream} from './upstream.js';
import {WaitQueue} from './wait-queue.js';

export type EntryRuntimeOptions = {
	readonly settings: EntrySettings;
	readonly store: EntryStore;
	readonly codec: CallCodec;
	readonly log: EventLog;
};

/** Monotonic clock, in milliseconds. */
const clock = () => performance.now();

/**
 * Share of a server's connection limit that the entries divide among themselves. The rest stays free, since callers
 * spread unevenly over the entries.
 */
const connectionShare = 0.9;

/** Minimum number of entries that share a server's connections, which leaves room for new entries. */
const minConnectionEntries = 8;

/** Maximum connections to a server whose service is not known yet. */
const initialConnections = 8;

/** Runs an entry: follows the authority and the server list in the store, and proxies requests to servers. */
export class EntryRuntime {
	static create(options: EntryRuntimeOptions): EntryRuntime {
		return new EntryRuntime(options);
	}

	private readonly _authority = AuthorityView.create();
	private readonly _freshness: FreshnessMonitor;
	private readonly _stallMonitor = StallMonitor.create(clock());
	private readonly _ledger: QuotaLedger;
	private readonly _fleet: FleetView;
	private readonly _peers: EntryPeers;
	private readonly _agentClient: AgentClient;
	private readonly _upstream = Upstream.create();
	private readonly _waitQueue = WaitQueue.create();
	private readonly _prefillWaiting = KeyCounts.create();
	private readonly _suspects = SuspectRegistry.create();
	private readonly _exchange: TableExchange;
	private readonly _servers: RelayedTable<ServerChange>;
	private readonly _members: RelayedTable<MemberRow>;
	private readonly _quotaResponder: QuotaResponder;
	private readonly _shutdown: EntryShutdown;
	private readonly _serverLog: ServerLog;
	private readonly _metrics = DirectMetrics.create({
		waiting: () => this._waitQueue.size,
	});

	private readonly _retryAllowances = new Map<string, RetryAllowance>();
	private readonly _ingress: Ingress;
	private readonly _watches: Disposable[] = [];
	private _serversWatch: TableWatch<ServerChange> | undefined;
	private _membersWatch: TableWatch<MemberRow> | undefined;
	/** What peers are told of the server list; a change makes a new revision. */
	private _serversDigest = '';
	private _socket: DatagramSocket | undefined;
	private _bounds: EntryBounds;
	/** Time in which this process was stalled until the server list was last confirmed, in milliseconds. */
	private _stalledMsAtList = 0;
	private _hasServerList = false;
	private _wasReady: boolean | undefined;

	private constructor(private readonly _options: EntryRuntimeOptions) {
		const {settings, log} = _options;
		this._bounds = settings.bounds;
		this._ledger = QuotaLedger.create({
			isFirstStart: settings.isFirstStart,
			slackUnits: () => this._bounds.quotaSlackUnits,
			now: clock(),
		});
		this._freshness = FreshnessMonitor.create({
			clock,
			wallClock: () => Date.now(),
			revokeMs: () => this._bounds.revokeMs,
			onSuspended: (epoch, now) => {
				this._ledger.resetAfterPause(now);
				log.write({event: 'suspended', epoch});
			},
		});
		this._shutdown = EntryShutdown.create({
			clock,
			graceMs: () => this._bounds.graceMs,
			hasOthers: () => this._peers.hasServingPeer,
		});
		this._serverLog = ServerLog.create(log);
		this._servers = this._createServersTable();
		this._members = this._createMembersTable();
		this._exchange = TableExchange.create({
			authority: this._authority,
			servers: () => this._servers.copy(clock()),
			members: () => this._members.copy(clock()),
		});
		this._peers = this._createPeers();
		this._quotaResponder = QuotaResponder.create({
			clock,
			peers: this._peers,
			ledger: this._ledger,
			ruleOf: customer =>
				this._authority.inForce?.config.customers?.find(
					({name}) => name === customer,
				),
			send: (message, to) => {
				this._send(message, to);
			},
		});
		this._fleet = this._createFleet();
		this._agentClient = AgentClient.create({
			fleet: this._fleet,
			clock,
			serviceOf: name => this._serviceOf(name),
			agentPort: settings.agentPort,
			isRelay: server => this._peers.isRelay(server),
			waitingCount: adapter =>
				this._waitQueue.countFor(adapter) + this._prefillWaiting.count(adapter),
			send: (message, to) => {
				this._send(message, to);
			},
			onReport: () => {
				this._waitQueue.wake();
			},
			onQueryEnded: (outcome, durationMs) => {
				this._metrics.noteQuery('turn', outcome, durationMs);
			},
			onLost: (dependency, err) => {
				this._logDependencyLost(dependency, err);
			},
			onRegained: (dependency, lostForMs) => {
				this._logDependencyRegained(dependency, lostForMs);
			},
		});
		this._ingress = Ingress.create(this._createContext());
	}

	/** Opens the sockets and starts to watch the store. */
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
		await TextServer.listen(settings.ready, () => this._readinessResponse());
		await TextServer.listen(settings.peer, path =>
			this._exchange.responseFor(path),
		);
		await TextServer.listen(settings.metrics, async () =>
			this._metrics.render(),
		);
		await this._ingress.listen(settings.front);
		this._watchTables();
		setInterval(() => {
			this._stallMonitor.check(clock());
		}, stallCheckIntervalMs);
		this._peers.start();
		this._agentClient.start();
		void this._joinPeers();
		log.write({
			event: 'started',
			role: 'entry',
			isFirstStart: settings.isFirstStart,
		});
	}

	/** Drains the entry, removes its member row, and resolves when the process may exit. */
	async stop(): Promise<void> {
		const {settings, log, store} = this._options;
		const startedAt = clock();
		log.write({event: 'stopping', running: this._ingress.running});
		await this._shutdown.run(this._ingress);
		for (const watch of this._watches) {
			watch.dispose();
		}

		// A heartbeat after the row is removed would add this entry to its peers again.
		this._peers.dispose();
		await Promise.race([
			store.leave(settings.hostId).catch((error: unknown) => {
				this._logError('leave', error);
			}),
			delay(graceMarginMs / 2),
		]);
		log.write({
			event: 'stopped',
			cut: this._ingress.running,
			afterMs: Math.round(clock() - startedAt),
		});
		this._ingress.cutUnframed();
	}

	/** Replaces the bounds, effective at once. */
	setBounds(bounds: EntryBounds): void {
		this._bounds = bounds;
	}

	private _createContext(): CallContext {
		const {codec, log} = this._options;
		return {
			clock,
			authority: this._authority,
			fleet: this._fleet,
			peers: this._peers,
			agentClient: this._agentClient,
			suspects: this._suspects,
			upstream: this._upstream,
			waitQueue: this._waitQueue,
			prefillWaiting: this._prefillWaiting,
			codec,
			log,
			metrics: this._metrics,
			isFresh: () => this._freshness.isFresh(),
			epoch: () => {
				this._freshness.checkForSuspension();
				return this._freshness.epoch;
			},
			proofAgeMs: () => this._freshness.proofAgeMs(),
			retryAllowance: service => this._retryAllowanceOf(service),
			maxConnections: service => this._maxConnectionsTo(service),
			onServerChanged: () => {
				this._serverLog.update(this._fleet.servers());
			},
			random: Math.random,
			shutdown: () => this._shutdown.progress,
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
			coldBound: service => this._bounds.coldBound(service),
			entryCount: () => this._peers.entryCount,
			onNewWant: server => {
				this._agentClient.sendDemand(server);
			},
		});
	}

	private _createPeers(): EntryPeers {
		const {settings} = this._options;
		return EntryPeers.create({
			hostId: settings.hostId,
			zone: settings.zone,
			endpoint: settings.peer,
			clock,
			epoch: () => this._freshness.epoch,
			ledger: this._ledger,
			send: (message, to) => {
				this._send(message, to);
			},
			authorityVersion: () => this._authority.version,
			isServing: () => this._notReadyReason() === undefined,
			provenAt: () => this._freshness.provenAt,
			customers: () => this._limitedCustomers(),
			tables: () => this._announcedTables(),
			onTables: (peer, heartbeat, isParent) => {
				const {servers, members} = heartbeat;
				if (servers !== undefined) {
					this._servers.onAnnouncement(peer, servers, isParent);
				}

				if (members !== undefined) {
					this._members.onAnnouncement(peer, members, isParent);
				}
			},
			onProof: (provenAt, epoch) => {
				this._freshness.prove(provenAt, epoch);
			},
			fetchStatements: async endpoint =>
				this._exchange.fetchStatements(endpoint),
			onStatements: (rows, from) => {
				this._onAuthorityChange(this._authority.apply(rows, clock()), from);
			},
			onRootChanged: (isRoot, parent) => {
				this._options.log.write({
					event: 'readerChanged',
					isReader: isRoot,
					reader: parent ?? settings.hostId,
				});
			},
			onQueryEnded: (outcome, durationMs) => {
				this._metrics.noteQuery('rate', outcome, durationMs);
			},
			onLost: (dependency, err) => {
				this._logDependencyLost(dependency, err);
			},
			onRegained: (dependency, lostForMs) => {
				this._logDependencyRegained(dependency, lostForMs);
			},
			onError: (step, error) => {
				this._logError(step, error);
			},
		});
	}

	private _createServersTable(): RelayedTable<ServerChange> {
		return RelayedTable.create<ServerChange>({
			name: 'servers',
			clock,
			rows: () => this._fleet.listedRows(),
			apply: (copy, now) => {
				this._serversWatch?.noteVersion(copy.version);
				this._fleet.applyAll(copy.rows, copy.version, now);
				return this._onServersChanged();
			},
			fetch: async from => this._exchange.fetchServers(from),
			staleAgeMs: staleServersAgeMs,
			onConfirmed: (sinceMs, now) => {
				const stalledMs = this._stallMonitor.check(now);
				const ranForMs = sinceMs - (stalledMs - this._stalledMsAtList);
				this._stalledMsAtList = stalledMs;
				this._fleet.noteConfirmed(ranForMs, now);
			},
			onChanged: () => {
				this._peers.announce();
			},
			onError: (step, error) => {
				this._logError(step, error);
			},
		});
	}

	private _createMembersTable(): RelayedTable<MemberRow> {
		return RelayedTable.create<MemberRow>({
			name: 'members',
			clock,
			rows: () => this._peers.memberRows(),
			apply: copy => {
				this._membersWatch?.noteVersion(copy.version);
				return this._peers.setMembers(copy.rows, true);
			},
			fetch: async from => this._exchange.fetchMembers(from),
			staleAgeMs: staleMembersAgeMs,
			onConfirmed: () => undefined,
			onChanged: () => {
				this._peers.announce();
			},
			onError: (step, error) => {
				this._logError(step, error);
			},
		});
	}

	private _announcedTables() {
		const now = clock();
		const servers = this._servers.announcement(now);
		const members = this._members.announcement(now);
		return {
			...(servers !== undefined && {servers}),
			...(members !== undefined && {members}),
		};
	}

	private _limitedCustomers(): readonly string[] {
		return (this._authority.inForce?.config.customers ?? [])
			.filter(({unitsPerSecond}) => unitsPerSecond > 0)
			.map(({name}) => name);
	}

	private _watchTables(): void {
		const {store} = this._options;
		this._watch({
			name: 'authority',
			source: store.authority,
			waitMs: () => (this._peers.isRoot ? this._authorityWaitMs : 0),
			intervalMs: 0,
			untilDueMs: () =>
				this._msUntilRead(this._freshness.provenAt, maxRelayedProofAgeMs),
			onRead: (...read) => {
				this._onAuthorityRead(...read);
			},
		});
		this._serversWatch = this._watch({
			name: 'servers',
			source: store.servers,
			waitMs: () => 0,
			intervalMs: serversIntervalMs,
			untilDueMs: () =>
				this._msUntilRead(this._servers.confirmedAt, maxRelayedServersAgeMs),
			onRead: (read, isSnapshot, startedAt) => {
				this._onServersRead(read, isSnapshot, startedAt);
			},
		});
	}

	/** Time until this entry has to read a table itself, in milliseconds. */
	private _msUntilRead(confirmedAt: number, maxAgeMs: number): number {
		const {isRoot, readShiftMs: shiftMs} = this._peers;
		return msUntilRead({isRoot, confirmedAt, maxAgeMs, shiftMs}, clock());
	}

	/** Maximum long-poll wait for a change of the authority statements, in milliseconds. */
	private get _authorityWaitMs(): number {
		const {min, max} = authorityWaitMs;
		const maxWaitMs = maxProofWaitMs(this._bounds.revokeMs, storeTimeoutMs);
		return Math.max(min, Math.min(max, maxWaitMs));
	}

	private _watchMembers(): void {
		this._membersWatch = this._watch({
			name: 'members',
			source: this._options.store.members,
			waitMs: () => (this._peers.isRoot ? membersWaitMs : 0),
			intervalMs: membersIntervalMs,
			untilDueMs: () =>
				this._msUntilRead(this._members.confirmedAt, maxRelayedMembersAgeMs),
			onRead: ({rows, version}, isSnapshot, startedAt) => {
				const hasChanged = this._peers.setMembers(rows, isSnapshot);
				this._members.noteRead(version, startedAt, hasChanged);
			},
		});
	}

	private _watch<Row>(
		tableOptions: Pick<
			TableWatchOptions<Row>,
			'name' | 'source' | 'waitMs' | 'intervalMs' | 'untilDueMs' | 'onRead'
		>,
	): TableWatch<Row> {
		const watch = TableWatch.create<Row>({
			...tableOptions,
			clock,
			epoch: () => this._freshness.epoch,
			minFailurePauseMs: () => (this._peers.isRoot ? 0 : relayedReadRetryMs),
			onRead: (...read) => {
				this._freshness.checkForSuspension();
				tableOptions.onRead(...read);
			},
			onTimed: (outcome, durationMs) => {
				this._metrics.noteStoreRead(tableOptions.name, outcome, durationMs);
			},
			onLost: (table, err) => {
				this._logDependencyLost(table, err);
			},
			onRegained: (table, lostForMs) => {
				this._logDependencyRegained(table, lostForMs);
			},
		});
		this._watches.push(watch);
		void watch.run();
		return watch;
	}

	private _onAuthorityRead(
		read: TableRead<AuthorityRow>,
		isSnapshot: boolean,
		startedAt: number,
		epoch: number,
	): void {
		const now = clock();
		const change = isSnapshot
			? this._authority.applyAll(read.rows, read.version, now)
			: this._authority.apply(read.rows, now);
		this._freshness.prove(startedAt, epoch);
		this._onAuthorityChange(change, 'store');
	}

	private _onAuthorityChange(change: AuthorityChange, source: string): void {
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
			this._waitQueue.wake();
			this._peers.announce();
		}
	}

	private _onServersRead(
		{rows, version}: TableRead<ServerChange>,
		isSnapshot: boolean,
		startedAt: number,
	): void {
		const now = clock();
		this._servers.confirm(startedAt, now);
		if (isSnapshot) {
			this._fleet.applyAll(rows, version, now);
		} else {
			this._fleet.apply(rows, now);
		}

		this._servers.noteRead(version, startedAt, this._onServersChanged());
	}

	/** Returns whether the server list differs in something that other entries have to know. */
	private _onServersChanged(): boolean {
		this._hasServerList = true;
		this._serverLog.update(this._fleet.servers());
		this._upstream.keepOnly(
			new Set([...this._fleet.servers()].map(({record}) => record.id)),
		);
		this._waitQueue.wake();
		const digest = this._fleet.listedDigest();
		const hasChanged = digest !== this._serversDigest;
		this._serversDigest = digest;
		return hasChanged;
	}

	/** Writes this entry's row before reading the others, so if two entries start at once, the later one sees the other. */
	private async _joinPeers(): Promise<void> {
		let isListed = await this._tryJoin();
		this._watchMembers();
		while (!isListed) {
			// Retries until the store responds.
			// eslint-disable-next-line no-await-in-loop
			await delay(storeBackoffMs.max);
			// eslint-disable-next-line no-await-in-loop
			isListed = await this._tryJoin();
		}
	}

	private async _tryJoin(): Promise<boolean> {
		const {store, settings} = this._options;
		try {
			await store.join({
				id: settings.hostId,
				endpoint: settings.peer,
				zone: settings.zone,
			});
			this._peers.noteListed();
			return true;
		} catch (error) {
			this._logError('join', error);
			return false;
		}
	}

	private _onMessage(message: GossipMessage, from: Endpoint): void {
		this._freshness.checkForSuspension();
		switch (message.type) {
			case 'entry': {
				this._peers.onHeartbeat(message, from);
				break;
			}

			case 'quotaAsk': {
				this._quotaResponder.onQuery(message, from);
				break;
			}

			case 'quotaAnswer': {
				this._peers.onQuotaReply(message.askId, message.grant);
				break;
			}

			case 'quotaReturn': {
				this._ledger.returnUnits(message.customer, message.units, clock());
				break;
			}

			case 'suspect': {
				const {fingerprint, server} = message;
				if (this._peers.passOnSuspect(message)) {
					this._suspects.noteCrash([fingerprint], server, clock());
				}

				break;
			}

			case 'report': {
				this._onReport(message);
				break;
			}

			case 'turnAnswer': {
				const {askId, delayMs, tokensAhead = 0} = message;
				this._agentClient.onPrefillReply(askId, {delayMs, tokensAhead});
				break;
			}

			// Only agents handle these.
			case 'turnAsk':
			case 'turnReturn':
			case 'demand': {
				break;
			}
		}
	}

	private _onReport(message: Extract<GossipMessage, {type: 'report'}>): void {
		this._agentClient.onReport(message.server, message.report);
		if (message.isRelayed !== true && this._peers.isRelay(message.server)) {
			this._peers.sendToZone({...message, isRelayed: true});
		}
	}

	private _serviceOf(name: string): ServiceSpec | undefined {
		return this._authority.inForce?.services.get(name);
	}

	private _retryAllowanceOf(service: string): RetryAllowance {
		let allowance = this._retryAllowances.get(service);
		if (allowance === undefined) {
			allowance = RetryAllowance.create(() => this._bounds.retry);
			this._retryAllowances.set(service, allowance);
		}

		return allowance;
	}

	private _maxConnectionsTo(service: string): number {
		const spec = this._serviceOf(service);
		const entries = Math.max(this._peers.entryCount, minConnectionEntries);
		return spec === undefined
			? initialConnections
			: Math.max(
					1,
					Math.floor((spec.maxConnections * connectionShare) / entries),
				);
	}

	private _readinessResponse(): TextResponse {
		const reason = this._notReadyReason();
		const isReady = reason === undefined;
		if (isReady !== this._wasReady) {
			this._wasReady = isReady;
			this._options.log.write({
				event: 'readiness',
				isReady,
				reason: reason ?? 'serves',
			});
		}

		return plainText(isReady ? 200 : 503, reason ?? 'ready');
	}

	private _notReadyReason(): string | undefined {
		if (this._shutdown.progress !== undefined) {
			return 'stopping';
		}

		if (this._authority.inForce === undefined) {
			return 'no configuration';
		}

		if (!this._hasServerList) {
			return 'no servers';
		}

		return this._freshness.isFresh() ? undefined : 'configuration stale';
	}

	private _send(message: GossipMessage, to: Endpoint): void {
		this._socket?.send(message, to);
	}

	private _logDependencyLost(dependency: string, err: unknown): void {
		this._options.log.write({
			event: 'dependencyLost',
			dependency,
			error: String(err),
		});
	}

	private _logDependencyRegained(dependency: string, lostForMs: number): void {
		this._options.log.write({
			event: 'dependencyRegained',
			dependency,
			lostForMs: Math.round(lostForMs),
		});
	}

	private _logError(step: string, error: unknown): void {
		this._options.log.write({event: 'error', step, error: String(error)});
	}
}

/** Stops the runtime on SIGTERM and then exits the process. */
export function stopOnSignal(runtime: {
	readonly stop: () => Promise<void>;
}): void {
	process.once('SIGTERM', () => {
		void runtime.stop().then(() => {
			process.exit(0);
		});
	});
}

function plainText(status: number, body: string): TextResponse {
	return {status, contentType: 'text/plain', body};
}
