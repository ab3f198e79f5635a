import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	AuthorityView,
	FleetView,
	longestProofWaitMs,
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
	serversIntervalMs,
	storeBackoffMs,
	storeTimeoutMs,
} from './constants.js';
import {DatagramSocket} from './datagram-socket.js';
import {DirectMetrics} from './direct-metrics.js';
import {EngineLinks} from './engine-links.js';
import {EntryPeers} from './entry-peers.js';
import {EntryShutdown} from './entry-shutdown.js';
import type {EventLog} from './event-log.js';
import {FreshnessKeeper} from './freshness-keeper.js';
import {Ingress} from './ingress.js';
import {KeyCounts} from './key-counts.js';
import {ServerLog} from './server-log.js';
import {StatementExchange} from './statement-exchange.js';
import {TableWatch, type TableWatchOptions} from './table-watch.js';
import {TextServer, type TextAnswer} from './text-server.js';
import type {
	CallCodec,
	Endpoint,
	EntryBounds,
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
	private readonly _freshness: FreshnessKeeper;
	private readonly _ledger: QuotaLedger;
	private readonly _fleet: FleetView;
	private readonly _peers: EntryPeers;
	private readonly _links: EngineLinks;
	private readonly _upstream = Upstream.create();
	private readonly _waiting = WaitingLine.create();
	private readonly _inTurn = KeyCounts.create();
	private readonly _suspects = SuspectRegistry.create();
	private readonly _statements = StatementExchange.create(this._authority);
	private readonly _shutdown: EntryShutdown;
	private readonly _serverLog: ServerLog;
	private readonly _metrics = DirectMetrics.create(() => this._waiting.size);
	private readonly _retries = new Map<string, RetryAllowance>();
	private readonly _ingress: Ingress;
	private readonly _watches: Disposable[] = [];
	private _socket: DatagramSocket | undefined;
	private _bounds: EntryBounds;
	private _hasServers = false;
	private _wasReady: boolean | undefined;

	private constructor(private readonly _options: EntryRuntimeOptions) {
		const {settings, log} = _options;
		this._bounds = settings.bounds;
		this._ledger = QuotaLedger.create({
			isFirstStart: settings.isFirstStart,
			slackUnits: () => this._bounds.quotaSlackUnits,
			now: clock(),
		});
		this._freshness = FreshnessKeeper.create({
			clock,
			timeOfDay: () => Date.now(),
			boundMs: () => this._bounds.revokeMs,
			onSuspended: (epoch, now) => {
				this._ledger.forget(now);
				log.write({event: 'suspended', epoch});
			},
		});
		this._shutdown = EntryShutdown.create({
			clock,
			graceMs: () => this._bounds.graceMs,
			hasOthers: () => this._peers.hasServing,
		});
		this._serverLog = ServerLog.create(log);
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
			onAsked: (outcome, forMs) => {
				this._metrics.noteAsk('turn', outcome, forMs);
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
		await TextServer.listen(settings.peer, path =>
			this._statements.answer(path),
		);
		await TextServer.listen(settings.metrics, async () =>
			this._metrics.answer(),
		);
		await this._ingress.listen(settings.front);
		this._followTables();
		this._peers.start();
		this._links.start();
		void this._joinPeers();
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
		log.write({event: 'stopping', running: this._ingress.running});
		await this._shutdown.run(this._ingress);
		for (const watch of this._watches) {
			watch.dispose();
		}

		// A beat after its row is gone would list it again with those that hear it.
		this._peers.dispose();
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

	/** Goes by other bounds from now on. */
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
			links: this._links,
			suspects: this._suspects,
			upstream: this._upstream,
			waiting: this._waiting,
			inTurn: this._inTurn,
			codec,
			log,
			metrics: this._metrics,
			isFresh: () => this._freshness.isFresh(),
			proofAgeMs: () => this._freshness.proofAgeMs(),
			retries: service => this._retriesOf(service),
			maxConnections: service => this._connectionsTo(service),
			draw: Math.random,
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
				this._links.demandOf(server);
			},
		});
	}

	private _createPeers(): EntryPeers {
		const {settings} = this._options;
		return EntryPeers.create({
			hostId: settings.hostId,
			clock,
			epoch: () => this._freshness.epoch,
			ledger: this._ledger,
			send: (message, to) => {
				this._send(message, to);
			},
			authorityVersion: () => this._authority.version,
			isServing: () => this._unreadyReason() === undefined,
			provenAt: () => this._freshness.provenAt,
			onProof: (provenAt, epoch) => {
				this._freshness.prove(provenAt, epoch);
			},
			fetchStatements: async endpoint => this._statements.fetch(endpoint),
			onStatements: (rows, from) => {
				this._onAuthority(this._authority.apply(rows, clock()), from);
			},
			onAsked: (outcome, forMs) => {
				this._metrics.noteAsk('rate', outcome, forMs);
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
			waitMs: () => this._authorityWait,
			intervalMs: 0,
			onRead: (...read) => {
				this._onAuthorityRead(...read);
			},
		});
		this._follow({
			name: 'servers',
			source: store.servers,
			waitMs: () => 0,
			intervalMs: serversIntervalMs,
			onRead: read => {
				this._onServersRead(read);
			},
		});
	}

	/** Longest wait for a change of the authority's statements, in milliseconds. */
	private get _authorityWait(): number {
		const {least, most} = authorityWaitMs;
		const due = longestProofWaitMs(this._bounds.revokeMs, storeTimeoutMs);
		return Math.max(least, Math.min(most, due));
	}

	private _followMembers(): void {
		this._follow({
			name: 'members',
			source: this._options.store.members,
			waitMs: () => membersWaitMs,
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
			epoch: () => this._freshness.epoch,
			onRead: (...read) => {
				this._freshness.look();
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
		this._freshness.prove(startedAt, epoch);
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
		if (this._hasServers) {
			this._fleet.apply(read.rows, now);
		} else {
			this._fleet.applyAll(read.rows, read.version, now);
			this._hasServers = true;
		}

		this._serverLog.update(this._fleet.servers());
		this._upstream.keepOnly(
			new Set([...this._fleet.servers()].map(({record}) => record.id)),
		);
		this._waiting.wake();
	}

	/** Lists this entry before it reads the others, so that of two that start together the later one knows the other. */
	private async _joinPeers(): Promise<void> {
		let isListed = await this._tryJoin();
		this._followMembers();
		while (!isListed) {
			// Tries until the store answers.
			// eslint-disable-next-line no-await-in-loop
			await delay(storeBackoffMs.longest);
			// eslint-disable-next-line no-await-in-loop
			isListed = await this._tryJoin();
		}
	}

	private async _tryJoin(): Promise<boolean> {
		const {store, settings} = this._options;
		try {
			await store.join({id: settings.hostId, endpoint: settings.peer});
			this._peers.noteListed();
			return true;
		} catch (error) {
			this._onError('join', error);
			return false;
		}
	}

	private _onMessage(message: GossipMessage, from: Endpoint): void {
		this._freshness.look();
		switch (message.type) {
			case 'entry': {
				this._peers.onBeat(message, from);
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

	private _serviceOf(name: string): ServiceSpec | undefined {
		return this._authority.inForce?.services.get(name);
	}

	private _retriesOf(service: string): RetryAllowance {
		let retries = this._retries.get(service);
		if (retries === undefined) {
			retries = RetryAllowance.create(() => this._bounds.retry);
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
		if (this._shutdown.progress !== undefined) {
			return 'stopping';
		}

		if (this._authority.inForce === undefined) {
			return 'no configuration';
		}

		if (!this._hasServers) {
			return 'no servers';
		}

		return this._freshness.isFresh() ? undefined : 'configuration stale';
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
