import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {
	AdapterLoadTimes,
	AuthorityView,
	eraGraceMs,
	FleetView,
	maxProofAgeMs,
	maxProofWaitMs,
	maxRelayedMembersAgeMs,
	maxRelayedServersAgeMs,
	msUntilRead,
	PartSuspects,
	QuotaLedger,
	rowsOfEra,
	SoftwareVersions,
	StoreEra,
	StreamOrigins,
	SuspectRegistry,
	ServerLimitRules,
	VersionBounds,
	type AuthorityChange,
	type AuthorityRow,
	type ServerChange,
	type ServiceSpec,
} from '@balsamtray/core';
import type {GossipMessage} from '@balsamtray/protocol';
import type {Disposable} from '../common/types.js';
import {readHostCapacity} from '../intake/host-capacity.js';
import {AbortiveClose} from '../common/abortive-close.js';
import type {CallContext} from './call-context.js';
import {
	authorityWaitMs,
	exposureCheckMs,
	graceMarginMs,
	heartbeatIntervalMs,
	maxPeerConnections,
	maxRewriteDelayMs,
	membersGraceMs,
	membersIntervalMs,
	membersWaitMs,
	recallCheckMs,
	relayedReadRetryMs,
	serversIntervalMs,
	stallCheckIntervalMs,
	staleMembersAgeMs,
	staleServersAgeMs,
	storeBackoffMs,
	storeTimeoutMs,
} from './constants.js';
import {DatagramSocket} from './datagram-socket.js';
import {DepartingCalls} from './departing-calls.js';
import {DirectMetrics} from './direct-metrics.js';
import {AgentClient} from './agent-client.js';
import {EntryDuties} from './entry-duties.js';
import {EntryPeers} from './entry-peers.js';
import {EntryShutdown} from './entry-shutdown.js';
import type {EventLog} from './event-log.js';
import {FreshnessMonitor} from './freshness-monitor.js';
import {Ingress} from './ingress.js';
import {KeyCounts} from './key-counts.js';
import {PartQuarantine} from './part-quarantine.js';
import type {ServerStart} from './part-exposures.js';
import {QuotaResponder} from './quota-responder.js';
import {RelayedTable} from './relayed-table.js';
import {RequestQuarantine} from './request-quarantine.js';
import {SentCalls} from './sent-calls.js';
import {ServerLimitTask} from './server-limit-task.js';
import {ServerLog} from './server-log.js';
import {ServiceLimits} from './service-limits.js';
import {ServiceRetries} from './service-retries.js';
import {StallMonitor} from './stall-monitor.js';
import {StreamDirectory} from './stream-directory.js';
import {TableExchange} from './table-exchange.js';
import {TableWatch, type TableWatchOptions} from './table-watch.js';
import {plainText, TextServer, type TextResponse} from './text-server.js';
import type {
	CallCodec,
	Endpoint,
	DutyEndpoint,
	EntryBounds,
	EntrySettings,
	EntryStore,
	MemberRow,
	TableRead,
} from './types.js';
import {Upstream} from './upstream.js';
import {isUsageMessage, UsageTask} from './usage-task.js';
import {WaitQueue} from './wait-queue.js';

export type EntryRuntimeOptions = {
	readonly settings: EntrySettings;
	readonly store: EntryStore;
	readonly codec: CallCodec;
	/** Undefined in a deployment without duties. */
	readonly dutyEndpoint?: DutyEndpoint;
	readonly log: EventLog;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
};

/** Monotonic clock, in milliseconds. */
const clock = () => performance.now();

/** Path on the address of the metrics where operators list and lift quarantines of parts of prompts. */
const quarantinePath = '/quarantine';

/** Runs an entry: follows the authority and the server list in the store, and proxies requests to servers. */
export class EntryRuntime {
	static create(options: EntryRuntimeOptions): EntryRuntime {
		return new EntryRuntime(options);
	}

	private readonly _authority = AuthorityView.create();
	private readonly _versionBounds = VersionBounds.create({
		authority: this._authority,
		versionMs: () => this._bounds.versionMs,
	});

	private readonly _freshness: FreshnessMonitor;
	private readonly _stallMonitor = StallMonitor.create(clock());
	private readonly _ledger: QuotaLedger;
	private readonly _fleet: FleetView;
	private readonly _peers: EntryPeers;
	private readonly _agentClient: AgentClient;
	private readonly _upstream = Upstream.create((server, err) => {
		this._onEndlessResponse(server, err);
	});

	private readonly _waitQueue: WaitQueue;
	private readonly _prefillWaiting = KeyCounts.create();
	private readonly _sentCalls = SentCalls.create();
	private readonly _loadTimes = AdapterLoadTimes.create();
	private readonly _suspects = SuspectRegistry.create();
	private readonly _requestQuarantine: RequestQuarantine;
	private readonly _partQuarantine: PartQuarantine;
	private readonly _exchange: TableExchange;
	private readonly _servers: RelayedTable<ServerChange>;
	private readonly _members: RelayedTable<MemberRow>;
	private readonly _quotaResponder: QuotaResponder;
	private readonly _softwareVersions = SoftwareVersions.create();
	private readonly _streams: StreamDirectory;
	private readonly _duties: EntryDuties;
	private readonly _shutdown: EntryShutdown;
	private readonly _serverLog: ServerLog;
	private readonly _metrics = DirectMetrics.create({
		callerMemory: () => this._ingress.keptBytes,
		callerConnections: () => this._ingress.connections,
		waiting: () => this._waitQueue.size,
		quarantinedParts: () => this._partQuarantine.count(clock()),
		dutiesHeld: () => this._duties.heldCount,
	});

	private readonly _limits = ServiceLimits.create({
		serviceOf: name => this._serviceOf(name),
		entryCount: () => this._peers.entryCount,
	});

	private readonly _usage: UsageTask | undefined;
	private readonly _limitRules = ServerLimitRules.create();
	private readonly _ingress: Ingress;
	private readonly _watches: Disposable[] = [];
	private readonly _era = StoreEra.create();
	/** Era in which the store took this entry's row; undefined before the first. */
	private _listedEra: number | undefined;
	private _isJoining = false;
	private readonly _startedAt = clock();
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
	/** Undefined until it is loaded, before the entry listens. */
	private _abortiveClose: AbortiveClose | undefined;

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
				this._softwareVersions.resetFollowing(now);
				this._authority.forgetVersionTimes();
				this._recallOutdated();
				log.write({event: 'suspended', epoch});
			},
		});
		this._shutdown = EntryShutdown.create({
			clock,
			graceMs: () => this._bounds.graceMs,
			hasOthers: () => this._peers.hasServingPeer,
		});
		this._serverLog = ServerLog.create(log, {
			isLeaving: server => this._fleet.isLeaving(server),
			suspendedForMs: server => this._fleet.suspendedForMs(server, clock()),
		});
		this._servers = this._createServersTable();
		this._members = this._createMembersTable();
		this._exchange = TableExchange.create({
			authority: this._authority,
			servers: () => this._servers.copy(clock()),
			members: () => this._members.copy(clock()),
			suspects: () => this._partQuarantine.entries(clock()),
			quarantinedRequests: () => this._suspects.quarantined(clock()),
		});
		this._requestQuarantine = this._createRequestQuarantine();
		this._partQuarantine = this._createPartQuarantine();
		this._peers = this._createPeers();
		this._quotaResponder = QuotaResponder.create({
			clock,
			peers: this._peers,
			ledger: this._ledger,
			ruleOf: customer =>
				this._authority.inForce?.config.customers?.find(
					({name}) => name === customer,
				),
			limitRuleOf: (name, perSecond) =>
				this._limitRules.ruleFor(name, perSecond, clock()),
			send: (message, to) => {
				this._send(message, to);
			},
		});
		this._fleet = this._createFleet();
		this._waitQueue = WaitQueue.create({clock, fleet: this._fleet});
		this._streams = this._createStreams();
		this._agentClient = AgentClient.create({
			fleet: this._fleet,
			loadTimes: this._loadTimes,
			clock,
			serviceOf: name => this._serviceOf(name),
			agentPort: settings.agentPort,
			isRelay: server => this._peers.isRelay(server),
			waitingCount: adapter =>
				this._waitQueue.countFor(adapter) + this._prefillWaiting.count(adapter),
			send: (message, to) => {
				this._send(message, to);
			},
			onReport: server => {
				this._waitQueue.wakeForReport(server);
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
		this._duties = EntryDuties.create({
			settings: settings.duties,
			hostId: settings.hostId,
			endpoint: _options.dutyEndpoint,
			rows: _options.store.dutyLeases,
			clock,
			epoch: () => this._currentEpoch(),
			storeEra: () => this._era.current,
			onEra: era => {
				this._noteEra(era, 'duties');
			},
			entries: () => this._peers.liveEntries,
			isRoot: () => this._peers.isRoot,
			isReady: () => this._notReadyReason() === undefined,
			log,
			metrics: this._metrics,
		});
		this._usage = this._createUsage();
		this._ingress = Ingress.create(
			this._createContext(),
			readHostCapacity(settings.capacity),
		);
	}

	/** Opens the sockets and starts to watch the store. */
	async start(): Promise<void> {
		const {settings, log} = this._options;
		this._socket = await DatagramSocket.open(
			settings.peer,
			(message, from) => {
				this._usage?.onMessage(message, from);
				this._onMessage(message, from);
			},
			err => {
				log.write({event: 'error', step: 'datagram', error: err.message});
			},
		);
		await TextServer.listen(settings.ready, () => this._readinessResponse());
		await TextServer.listen(
			settings.peer,
			path => this._exchange.responseFor(path),
			maxPeerConnections,
		);
		await TextServer.listen(settings.metrics, async (path, method) =>
			this._operatorsResponse(path, method),
		);
		this._abortiveClose = await AbortiveClose.load(err => {
			log.write({event: 'error', step: 'abortiveClose', error: err.message});
		});
		await this._ingress.listen(settings.front);
		this._watchTables();
		setInterval(() => {
			this._stallMonitor.check(clock());
		}, stallCheckIntervalMs);
		setInterval(() => {
			this._partQuarantine.checkServers(clock());
			this._requestQuarantine.checkServers();
		}, exposureCheckMs);
		this._peers.start();
		this._agentClient.start();
		this._usage?.start();
		void this._joinPeers();
		void this._partQuarantine.restore();
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
		this._streams.handOver();
		const released = this._duties.stop();
		const reason = await this._shutdown.run(this._ingress);
		for (const watch of this._watches) {
			watch.dispose();
		}

		// A heartbeat after the row is removed would add this entry to its peers again.
		this._peers.dispose();
		await Promise.race([
			Promise.all([store.leave(settings.hostId), released]).catch(
				(error: unknown) => {
					this._logError('leave', error);
				},
			),
			delay(graceMarginMs / 2),
		]);
		const cut = this._ingress.running;
		await this._shutdown.end(this._ingress);
		log.write({
			event: 'stopped',
			cut,
			afterMs: Math.round(clock() - startedAt),
			reason,
		});
	}

	/** Replaces the bounds, effective at once. */
	setBounds(bounds: EntryBounds): void {
		this._bounds = bounds;
	}

	private _createContext(): CallContext {
		return {
			clock,
			authority: this._authority,
			fleet: this._fleet,
			loadTimes: this._loadTimes,
			peers: this._peers,
			streams: this._streams,
			agentClient: this._agentClient,
			suspects: this._suspects,
			requestQuarantine: this._requestQuarantine,
			partQuarantine: this._partQuarantine,
			upstream: this._upstream,
			serverLimits: ServerLimitTask.create({
				clock,
				fleet: this._fleet,
				rules: this._limitRules,
				peers: this._peers,
				metrics: this._metrics,
				log: this._options.log,
			}),
			waitQueue: this._waitQueue,
			prefillWaiting: this._prefillWaiting,
			sentCalls: this._sentCalls,
			departing: DepartingCalls.create({clock, fleet: this._fleet}),
			codec: this._options.codec,
			log: this._options.log,
			metrics: this._metrics,
			abortiveClose: {
				set: (socket, isOn) => this._abortiveClose?.set(socket, isOn) ?? false,
			},
			isFresh: () => this._freshness.isFresh(),
			isCurrent: () =>
				this._freshness.isProvenWithin(this._bounds.configApplyMs),
			epoch: () => this._currentEpoch(),
			proofAgeMs: () => this._freshness.proofAgeMs(),
			usage: this._usage,
			retries: ServiceRetries.create({
				clock,
				limit: () => this._bounds.retry,
				isFirstStart: this._options.settings.isFirstStart,
				entryCount: withinMs => this._peers.entriesWithin(withinMs),
				log: this._options.log,
				metrics: this._metrics,
			}),
			maxConnections: service => this._limits.maxConnections(service),
			onServerLeaving: server => {
				this._onServerLeaving(server);
				this._agentClient.sendDemand(server);
			},
			onEndlessResponse: (server, err) => {
				this._onEndlessResponse(server, err);
			},
			isCatchingUp: () => this._stallMonitor.isCatchingUp(clock()),
			random: this._options.random,
			shutdown: this._shutdown,
		};
	}

	/** Logs that a server says that it is leaving, and tells the linked entries, which may not get its responses. */
	private _onServerLeaving(server: string): void {
		this._serverLog.update(this._fleet.servers());
		const born = this._fleet.server(server)?.born ?? 0;
		this._peers.sendToLinks({type: 'leaving', server, born});
	}

	/** Lets requests prefer other servers for a while. */
	private _onEndlessResponse(server: string, err: Error): void {
		this._fleet.server(server)?.markSuspected(clock());
		this._metrics.noteEndlessResponse();
		const {log} = this._options;
		log.write({event: 'endlessResponse', server, error: err.message});
	}

	private _currentEpoch(): number {
		this._freshness.checkForSuspension();
		return this._freshness.epoch;
	}

	private _createFleet(): FleetView {
		return FleetView.create({
			zone: this._options.settings.zone,
			isZoneOut: zone => this._authority.isZoneOut(zone),
			newestVersion: (model, adapter) =>
				this._authority.newestVersion(model, adapter),
			minVersion: (model, adapter, now) =>
				this._versionBounds.oldest('sending', model, adapter, now),
			serviceOf: name => this._serviceOf(name),
			coldBound: service => this._bounds.coldBound(service),
			entryCount: () => this._peers.entryCount,
			entryRank: server => this._peers.rank(server),
			loadTimes: this._loadTimes,
			random: this._options.random,
			onNewWant: server => {
				this._agentClient.sendDemand(server);
			},
		});
	}

	private _createRequestQuarantine(): RequestQuarantine {
		return RequestQuarantine.create({
			clock,
			suspects: this._suspects,
			hasEnded: ({server, address, born}) =>
				this._fleet.hasStartedAgain(server, address, born),
			spread: (fingerprint, server) => {
				this._peers.spreadSuspect(fingerprint, server);
			},
			fetchRequests: async from =>
				this._exchange.fetchQuarantinedRequests(from),
			onError: (step, error) => {
				this._logError(step, error);
			},
			log: this._options.log,
		});
	}

	private _createPartQuarantine(): PartQuarantine {
		return PartQuarantine.create({
			clock,
			suspects: PartSuspects.create(),
			hasEnded: start => this._hasEnded(start),
			isSilent: (server, now) =>
				this._fleet.server(server)?.isSilent(now) ?? false,
			isOwner: part => this._peers.isOwner(part),
			spread: note => {
				this._peers.spreadPartNote(note);
			},
			schedule(run, delayMs) {
				setTimeout(run, delayMs);
			},
			fetchSuspects: async from => this._exchange.fetchSuspects(from),
			store: this._options.store.suspects,
			log: this._options.log,
			onError: (step, error) => {
				this._logError(step, error);
			},
		});
	}

	/** Whether a server has started again, or another one has its address. */
	private _hasEnded({server, born}: ServerStart): boolean {
		const state = this._fleet.server(server);
		return (
			state !== undefined &&
			this._fleet.hasStartedAgain(server, state.record.address, born)
		);
	}

	private _createStreams(): StreamDirectory {
		return StreamDirectory.create({
			hostId: this._options.settings.hostId,
			clock,
			listedAt: () => this._servers.confirmedAt,
			origins: StreamOrigins.create(),
			versions: this._softwareVersions,
			keepers: stream => this._peers.streamKeepers(stream),
			send: (message, to) => {
				this._send(message, to);
			},
			schedule(run, delayMs) {
				const timer = setTimeout(run, delayMs);
				return () => {
					clearTimeout(timer);
				};
			},
			onQueryEnded: (outcome, durationMs) => {
				this._metrics.noteQuery('stream', outcome, durationMs);
			},
		});
	}

	private _createUsage(): UsageTask | undefined {
		return UsageTask.createIf(this._duties.task('usage'), {
			settings: this._options.settings,
			clock,
			epoch: () => this._currentEpoch(),
			storeEra: () => this._era.current,
			onEra: era => {
				this._noteEra(era, 'usage');
			},
			members: () => this._peers.memberRows(),
			fleet: this._fleet,
			serviceOf: name => this._serviceOf(name),
			rows: this._options.store.usageReports,
			send: (message, to) => {
				this._send(message, to);
			},
			log: this._options.log,
			metrics: this._metrics,
		});
	}

	private _createPeers(): EntryPeers {
		const {settings} = this._options;
		return EntryPeers.create({
			hostId: settings.hostId,
			zone: settings.zone,
			endpoint: settings.peer,
			clock,
			random: this._options.random,
			epoch: () => this._freshness.epoch,
			ledger: this._ledger,
			send: (message, to) => {
				this._send(message, to);
			},
			authorityVersion: () => this._authority.version,
			settledEra: () => this._authority.settledEra,
			storeEra: () => this._era.current,
			onEra: (era, from) => {
				this._noteEra(era, from);
			},
			isServing: () => this._notReadyReason() === undefined,
			provenAt: () => this._freshness.provenAtIn(this._authority.version.era),
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
			onProof: (provenAt, epoch, era) => {
				this._freshness.prove(provenAt, epoch, era);
			},
			fetchStatements: async endpoint =>
				this._exchange.fetchStatements(endpoint),
			onStatements: (rows, from) => {
				this._onAuthorityChange(
					this._authority.apply(rows, this._freshness.provenAt),
					from,
				);
				this._noteEra(this._authority.version.era, from);
			},
			onRootChanged: (isRoot, parent) => {
				this._options.log.write({
					event: 'readerChanged',
					isReader: isRoot,
					reader: parent ?? settings.hostId,
				});
			},
			quarantine: () => this._partQuarantine.digest(clock()),
			onQuarantine: (peer, digest) => {
				void this._partQuarantine.onDigest(peer, digest);
			},
			quarantinedRequests: () => this._requestQuarantine.digest,
			onQuarantinedRequests: (peer, digest) => {
				void this._requestQuarantine.onDigest(peer, digest);
			},
			maxCutServingMs: () => this._bounds.revokeMs ?? Number.POSITIVE_INFINITY,
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
			apply: (copy, version, now) => {
				this._noteEra(version.era, 'servers');
				this._serversWatch?.noteVersion(version);
				this._fleet.applyAll(copy.rows, version, now);
				return this._onServersChanged();
			},
			fetch: async from => this._exchange.fetchServers(from),
			staleAgeMs: staleServersAgeMs,
			onConfirmed: (sinceMs, now) => {
				const stalledMs = this._stallMonitor.check(now);
				const ranForMs = sinceMs - (stalledMs - this._stalledMsAtList);
				this._stalledMsAtList = stalledMs;
				this._fleet.noteConfirmed(ranForMs, now);
				this._softwareVersions.noteConfirmed(sinceMs, now);
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
			apply: (copy, version, now) => {
				this._noteEra(version.era, 'members');
				this._membersWatch?.noteVersion(version);
				return this._peers.setMembers(copy.rows, now >= this._era.settledAt);
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
				this._msUntilRead(this._freshness.provenAt, this._maxProofAgeMs),
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
		// A relayed proof is up to two waits and two heartbeats old, and must not make all entries read.
		const relayedWaitMs = this._maxProofAgeMs / 2 - heartbeatIntervalMs;
		return Math.max(min, Math.min(max, maxWaitMs, relayedWaitMs));
	}

	private get _maxProofAgeMs(): number {
		return maxProofAgeMs(this._bounds.configApplyMs, storeTimeoutMs / 2);
	}

	private _watchMembers(): void {
		this._membersWatch = this._watch({
			name: 'members',
			source: this._options.store.members,
			waitMs: () => (this._peers.isRoot ? membersWaitMs : 0),
			intervalMs: membersIntervalMs,
			untilDueMs: () =>
				this._msUntilRead(this._members.confirmedAt, maxRelayedMembersAgeMs),
			onRead: (read, isSnapshot, startedAt) => {
				// Members whose rows the store has lost write them again.
				const isComplete = isSnapshot && startedAt >= this._era.settledAt;
				const hasChanged = this._peers.setMembers(read.rows, isComplete);
				this._members.noteRead(read, startedAt, hasChanged);
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
			era: this._era,
			onEra: era => {
				this._noteEra(era, tableOptions.name);
			},
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
		const {provenAt} = this._freshness;
		const rows = rowsOfEra(read.rows, read.era);
		this._freshness.prove(startedAt, epoch, read.era);
		const change = this._applyAuthorityRows(
			{...read, rows},
			isSnapshot,
			startedAt,
			provenAt,
		);
		this._onAuthorityChange(change, 'store');
	}

	private _applyAuthorityRows(
		read: TableRead<AuthorityRow>,
		isSnapshot: boolean,
		startedAt: number,
		provenAt: number,
	): AuthorityChange {
		if (!isSnapshot) {
			return this._authority.apply(read.rows, provenAt);
		}

		return startedAt < this._era.settledAt
			? this._authority.beginEra(read.rows, read.era, provenAt)
			: this._authority.applyAll(read.rows, read, provenAt);
	}

	/** Notes an era of the store, known from a table or a peer. In a new one, this entry's row may be lost. */
	private _noteEra(era: number, source: string): void {
		const now = clock();
		if (!this._era.note(era, now)) {
			return;
		}

		this._options.log.write({event: 'storeEra', era, source});
		this._fleet.noteEra(now);
		setTimeout(() => {
			this._servers.noteSettled();
			this._members.noteSettled();
		}, eraGraceMs).unref();
		if (this._listedEra !== undefined) {
			void this._keepListed(this._options.random() * maxRewriteDelayMs);
		}
	}

	/** Takes outdated requests back once a version that was declared after `since` ends the use of older ones. */
	private _scheduleRecall(since: number): void {
		const untilDueMs = this._versionBounds.untilEndMs(
			'waiting',
			since,
			clock(),
		);
		if (untilDueMs <= 0) {
			this._recallOutdated();
			return;
		}

		// A timer may end early by the monotonic clock, and the time limit may change.
		setTimeout(
			() => {
				this._scheduleRecall(since);
			},
			Math.min(Math.ceil(untilDueMs), recallCheckMs),
		);
	}

	/** Takes back requests that wait at servers with an adapter version on which they may no longer begin. */
	private _recallOutdated(): void {
		const now = clock();
		this._sentCalls.recallOutdated((model, adapter) =>
			this._versionBounds.oldest('waiting', model, adapter, now),
		);
	}

	private _onAuthorityChange(change: AuthorityChange, source: string): void {
		const {log} = this._options;
		const {
			inForce,
			version: {era, version: rowVersion},
		} = this._authority;
		for (const {adapter, version: declared, since} of change.declared) {
			const provenMsAgo = clock() - since;
			log.write({
				event: 'versionDeclared',
				adapter,
				version: declared,
				...(Number.isFinite(provenMsAgo) && {
					provenMsAgo: Math.round(provenMsAgo),
				}),
				source,
			});
			this._scheduleRecall(since);
		}

		if (change.hasNewConfig && inForce !== undefined) {
			this._ingress.setLimits(inForce.config.limits);
			log.write({
				event: 'configInForce',
				version: inForce.config.version,
				source,
			});
		} else if (change.hasChanged) {
			log.write({event: 'authorityChanged', era, rowVersion, source});
		}

		if (change.hasChanged) {
			this._waitQueue.wakeForPermissions();
			this._peers.announce();
		}
	}

	private _onServersRead(
		read: TableRead<ServerChange>,
		isSnapshot: boolean,
		startedAt: number,
	): void {
		const now = clock();
		const rows = rowsOfEra(read.rows, read.era);
		this._servers.confirm(startedAt, read, now);
		if (isSnapshot) {
			this._fleet.applyAll(rows, read, now);
		} else {
			this._fleet.apply(rows, now);
		}

		this._servers.noteRead(read, startedAt, this._onServersChanged());
	}

	/** Returns whether the server list differs in something that other entries have to know. */
	private _onServersChanged(): boolean {
		this._hasServerList = true;
		this._softwareVersions.update(
			this._fleet.listedRows().flatMap(({record}) => record ?? []),
			clock(),
		);
		this._serverLog.update(this._fleet.servers());
		this._upstream.keepOnly(
			new Set([...this._fleet.servers()].map(({record}) => record.id)),
		);
		this._waitQueue.wakeForServers();
		const digest = this._fleet.listedDigest();
		const hasChanged = digest !== this._serversDigest;
		this._serversDigest = digest;
		return hasChanged;
	}

	/** Writes this entry's row before reading the others, so if two entries start at once, the later one sees the other. */
	private async _joinPeers(): Promise<void> {
		const isListed = await this._tryJoin();
		this._watchMembers();
		this._duties.start();
		await this._keepListed(isListed ? 0 : storeBackoffMs.max);
	}

	/** Writes this entry's row until the store has it in its newest era. */
	private async _keepListed(delayMs: number): Promise<void> {
		if (this._isJoining) {
			return;
		}

		this._isJoining = true;
		await delay(delayMs);
		while (!this._isListed && !this._shutdown.isStopping) {
			// Retries until the store responds.
			// eslint-disable-next-line no-await-in-loop
			if (!(await this._tryJoin())) {
				// eslint-disable-next-line no-await-in-loop
				await delay(storeBackoffMs.max);
			}
		}

		this._isJoining = false;
	}

	private get _isListed(): boolean {
		return (
			this._listedEra !== undefined && this._listedEra >= this._era.current
		);
	}

	private async _tryJoin(): Promise<boolean> {
		const {store, settings} = this._options;
		try {
			const {era} = await store.join({
				id: settings.hostId,
				endpoint: settings.peer,
				zone: settings.zone,
			});
			this._listedEra = Math.max(this._listedEra ?? 0, era);
			this._noteEra(era, 'join');
			this._peers.noteListed();
			return true;
		} catch (error) {
			this._logError('join', error);
			return false;
		}
	}

	private _onMessage(message: GossipMessage, from: Endpoint): void {
		this._freshness.checkForSuspension();
		if (isUsageMessage(message)) {
			return;
		}

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

			case 'suspect':
			case 'partNote': {
				this._onCrashReport(message, from);
				break;
			}

			case 'leaving': {
				this._onLeaving(message);
				break;
			}

			case 'report': {
				this._onReport(message);
				break;
			}

			case 'streamNote': {
				this._streams.onNote(message);
				break;
			}

			case 'streamAsk': {
				this._streams.onQuery(message, from);
				break;
			}

			case 'streamAnswer': {
				this._streams.onReply(message);
				break;
			}

			case 'turnAnswer': {
				const {askId, delayMs, tokensAhead = 0, isQueued = false} = message;
				this._agentClient.onPrefillReply(askId, {
					delayMs,
					tokensAhead,
					isQueued,
				});
				break;
			}

			// Only agents handle these.
			case 'turnAsk':
			case 'turnReturn':
			case 'turnTaken':
			case 'pace':
			case 'demand': {
				break;
			}
		}
	}

	/** Takes and passes on what another entry knows of requests, or parts of them, that crash servers. */
	private _onCrashReport(
		message: Extract<GossipMessage, {type: 'suspect' | 'partNote'}>,
		from: Endpoint,
	): void {
		if (!this._peers.passOn(message)) {
			return;
		}

		if (message.type === 'partNote') {
			this._partQuarantine.onNote(message, from.host, clock());
		} else {
			const {fingerprint, server} = message;
			this._suspects.noteCrash([fingerprint], server, clock());
		}
	}

	private _onLeaving(message: Extract<GossipMessage, {type: 'leaving'}>): void {
		const {server, born} = message;
		if (this._fleet.noteLeaving(server, clock(), born)) {
			this._onServerLeaving(server);
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

	/** Metrics, and the quarantined parts of prompts, which operators list and lift. */
	private async _operatorsResponse(
		path: string,
		method: string,
	): Promise<TextResponse> {
		const [pathname] = path.split('?', 1);
		return pathname === quarantinePath
			? this._partQuarantine.respond(method, path, clock())
			: this._metrics.render();
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
		if (this._shutdown.isStopping) {
			return 'stopping';
		}

		if (this._authority.inForce === undefined) {
			return 'no configuration';
		}

		if (!this._hasServerList) {
			return 'no servers';
		}

		if (!this._peers.hasMembers && clock() - this._startedAt < membersGraceMs) {
			return 'no members';
		}

		return this._freshness.isFresh() ? undefined : 'configuration stale';
	}

	private _send(message: GossipMessage, to: Endpoint): void {
		this._socket?.send(this._usage?.stamp(message) ?? message, to);
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
