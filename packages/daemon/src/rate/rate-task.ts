import {
	RateCore,
	ShardLeases,
	shardsPerCustomer,
	type ConfigView,
	type Host,
	type LeaseCommand,
	type LeaseEvent,
	type LeaseTimes,
	type RateCommand,
	type RateEvent,
	type RateHolder,
	type RateShard,
	type VersionedShardRow,
} from '@balsamtray/core';
import type {
	RatePeerContext,
	ShardMap,
	TransferResponse,
	TransferRequest,
	TransferSettlement,
} from '@balsamtray/protocol';
import type {
	ConfigService,
	Disposable,
	MembershipService,
	RateService,
	ReserveResult,
	Telemetry,
} from '../common/types.js';
import type {TableStore} from '../store/types.js';
import {MonotonicClock, type ClockPair} from './monotonic-clock.js';
import {SettlementBatcher} from './settlement-batcher.js';
import {ShardTable, type ShardWrite} from './shard-table.js';
import type {RatePeers} from './types.js';

const tickIntervalMs = 50;
const layoutRetryDelayMs = 1000;
const leasePollIntervalMs = 20;

/** Maximum wait during startup until all shards have holders, in milliseconds. */
const maxStartWaitMs = 2000;

/** Maximum wait during shutdown for the release of the shards, in milliseconds. */
const maxReleaseWaitMs = 2000;

/** Maximum wait of a reservation for transfers from other holders, in milliseconds. */
const maxReserveWaitMs = 900;

/** Options of the rate task. */
export type RateTaskOptions = {
	readonly self: RateHolder;
	readonly incarnation: string;
	/** Address at which other processes reach this one. The process must listen there before `start`. */
	readonly peerAddress: string;
	readonly environment: string;
	readonly table: TableStore;
	readonly peers: RatePeers;
	readonly config: ConfigService;
	readonly membership: MembershipService;
	readonly telemetry: Telemetry;
	readonly clocks: ClockPair;
	readonly leaseTimes?: LeaseTimes;
};

/** Enforces customers' rates on an entry: passes events to `RateCore` and `ShardLeases` and executes the commands that they return. */
export class RateTask implements RateService, RatePeerContext {
	static create(options: RateTaskOptions): RateTask {
		return new RateTask(options);
	}

	private _timer: NodeJS.Timeout | undefined;
	private _isStopped = false;
	private _reportedShards = '';
	private readonly _core: RateCore;
	private readonly _leases: ShardLeases;
	private readonly _clock: MonotonicClock;
	private readonly _shardTable: ShardTable;
	private readonly _settlements: SettlementBatcher;
	private readonly _subscriptions: Disposable[] = [];
	private readonly _pendingReservations = new Map<
		string,
		(result: ReserveResult) => void
	>();

	private readonly _pendingTransfers = new Map<
		string,
		(answer: TransferResponse) => void
	>();

	private readonly _limitTextsByCustomer = new Map<string, string>();
	private readonly _addressesByHost = new Map<string, string>();

	private constructor(private readonly _options: RateTaskOptions) {
		const {self, incarnation, peerAddress, table, environment} = _options;
		this._core = RateCore.create({self, incarnation});
		this._leases = ShardLeases.create({
			self,
			incarnation,
			peerAddress,
			...(_options.leaseTimes === undefined
				? {}
				: {times: _options.leaseTimes}),
		});
		this._clock = MonotonicClock.create(_options.clocks);
		this._shardTable = ShardTable.create(table, environment);
		this._settlements = SettlementBatcher.create((peer, settlements) => {
			this._sendSettlements(peer, settlements);
		});
	}

	/**
	 * Starts to acquire leases and waits up to `maxStartWaitMs` until all shards have holders.
	 * The process must already listen on its peer port and have a configuration.
	 */
	async start(): Promise<void> {
		const {config, membership} = this._options;
		this._updateLimits(config.view());
		this._updateHosts(membership.hosts());
		this._subscriptions.push(
			config.onAdvanced(view => {
				this._updateLimits(view);
			}),
			membership.onChanged(hosts => {
				this._updateHosts(hosts);
			}),
		);
		this._timer = setInterval(() => {
			this._tick();
		}, tickIntervalMs);
		void this._loadShards();
		await this._waitWhile(() => !this._leases.isFullyHeld, maxStartWaitMs);
	}

	/** Stops all spending, then releases the shards. The peer port must stay open until this resolves. */
	async stop(): Promise<void> {
		this._leases.close();
		for (const shard of this._leases.heldShards) {
			this._releaseShard(shard);
		}

		this._settlements.flush();
		await this._waitWhile(() => this._leases.isReleasing, maxReleaseWaitMs);
		this._isStopped = true;
		clearInterval(this._timer);
		for (const subscription of this._subscriptions) {
			subscription.dispose();
		}
	}

	async reserve(
		requestId: string,
		customer: string,
		tokens: number,
	): Promise<ReserveResult> {
		return new Promise(resolve => {
			this._pendingReservations.set(requestId, resolve);
			this._handleRateEvent({
				type: 'reserveRequested',
				requestId,
				customer,
				tokens,
				maxWaitMs: maxReserveWaitMs,
			});
		});
	}

	returnTokens(customer: string, tokens: number, requestId?: string): void {
		if (requestId === undefined) {
			this._count('rate.return_unknown');
			return;
		}

		this._handleRateEvent({type: 'tokensReturned', requestId, tokens});
	}

	async requestTransfer(request: TransferRequest): Promise<TransferResponse> {
		return new Promise(resolve => {
			this._pendingTransfers.set(request.transferId, resolve);
			this._handleLeaseEvent({type: 'peerSeen', peer: request.peer});
			this._handleRateEvent({type: 'transferRequested', ...request});
		});
	}

	settleTransfers(settlements: readonly TransferSettlement[]): void {
		for (const settlement of settlements) {
			const {transferId, customer} = settlement;
			this._handleRateEvent(
				settlement.kind === 'spent'
					? {type: 'transferSpent', transferId, customer}
					: {
							type: 'transferReturned',
							transferId,
							customer,
							tokens: settlement.tokens,
						},
			);
		}
	}

	/** Returns the shards as this entry last read them, for an entry that can't reach the store. */
	shardMap(): ShardMap {
		const rows = [...this._leases.rows].map(([shard, {row, version}]) => ({
			shard,
			row,
			version,
		}));
		return {shards: this._leases.shards, rows};
	}

	private async _waitWhile(
		isWaiting: () => boolean,
		maxWaitMs: number,
	): Promise<void> {
		const deadline = this._clock.now() + maxWaitMs;
		while (isWaiting() && this._clock.now() < deadline) {
			// Polls while writes to the store are in flight.
			// eslint-disable-next-line no-await-in-loop
			await sleep(leasePollIntervalMs);
		}
	}

	private async _loadShards(): Promise<void> {
		while (!this._isStopped) {
			try {
				// Retries until the store responds.
				// eslint-disable-next-line no-await-in-loop
				const shards = await this._shardTable.readOrCreateLayout(
					this._proposeShards(),
				);
				if (shards.length > 0) {
					this._handleLeaseEvent({type: 'shardsLearned', shards});
					this._tick();
					return;
				}
			} catch {
				this._count('rate.layout_failed');
				// Falls back to other entries until one responds.
				// eslint-disable-next-line no-await-in-loop
				if (await this._loadShardsFromPeers()) {
					return;
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(layoutRetryDelayMs);
		}
	}

	/**
	 * Reads the shards from another entry while the store is down. An outdated row does no harm:
	 * the store rejects a write that is based on it.
	 */
	private async _loadShardsFromPeers(): Promise<boolean> {
		const {self, membership, peers} = this._options;
		for (const host of membership.hosts()) {
			if (host.role !== 'entry' || host.id === self.id) {
				continue;
			}

			// One peer with a shard map is enough.
			// eslint-disable-next-line no-await-in-loop
			const map = await peers.readShardMap(host.peerAddress);
			if (map !== undefined && map.shards.length > 0) {
				const rows = new Map(
					map.rows.map(({shard, row, version}) => [shard, {row, version}]),
				);
				this._handleLeaseEvent({type: 'shardsLearned', shards: map.shards});
				this._updateRows(rows);
				return true;
			}
		}

		return false;
	}

	private _updateRows(rows: ReadonlyMap<string, VersionedShardRow>): void {
		for (const {row} of rows.values()) {
			this._addressesByHost.set(row.holder.id, row.peerAddress);
		}

		this._handleLeaseEvent({type: 'rowsRead', rows});
	}

	/** Proposes one shard for each current entry, and at least `shardsPerCustomer`. */
	private _proposeShards(): readonly RateShard[] {
		const {self, membership} = this._options;
		const regions = membership
			.hosts()
			.filter(host => host.role === 'entry')
			.map(host => host.region);
		while (regions.length < shardsPerCustomer) {
			regions.push(self.region);
		}

		return regions.map((region, i) => ({id: `${region}-${i}`, region}));
	}

	/** Passes changed limits to the core. Customers that were removed from the configuration get limits of 0. */
	private _updateLimits(view: ConfigView): void {
		const limits = [];
		const configuredCustomers = new Set<string>();
		for (const {name, tokensPerSecond, burstTokens} of view.customers()) {
			configuredCustomers.add(name);
			limits.push({customer: name, tokensPerSecond, burstTokens});
		}

		for (const customer of this._limitTextsByCustomer.keys()) {
			if (!configuredCustomers.has(customer)) {
				limits.push({customer, tokensPerSecond: 0, burstTokens: 0});
			}
		}

		const changed = limits.filter(limit => {
			const text = `${limit.tokensPerSecond} ${limit.burstTokens}`;
			const isChanged = this._limitTextsByCustomer.get(limit.customer) !== text;
			this._limitTextsByCustomer.set(limit.customer, text);
			return isChanged;
		});
		if (changed.length > 0) {
			this._handleRateEvent({type: 'limitsChanged', limits: changed});
		}
	}

	private _updateHosts(hosts: readonly Host[]): void {
		const entries: RateHolder[] = [];
		for (const host of hosts) {
			if (host.role === 'entry' && host.state === 'live') {
				const {id, zone, region} = host;
				entries.push({id, zone, region});
				this._addressesByHost.set(id, host.peerAddress);
			}
		}

		this._handleLeaseEvent({type: 'entriesChanged', entries});
	}

	private _tick(): void {
		this._handleLeaseEvent({type: 'tick'});
		this._handleRateEvent({type: 'tick'});
		this._reportShards();
	}

	private _handleRateEvent(event: RateEvent): void {
		this._reportClockJump();
		this._executeRateCommands(this._core.handle(event, this._clock.now()));
	}

	private _handleLeaseEvent(event: LeaseEvent): void {
		this._reportClockJump();
		for (const command of this._leases.handle(event, this._clock.now())) {
			this._executeLeaseCommand(command);
		}
	}

	private _reportClockJump(): void {
		const jumpMs = this._clock.takeJumpMs();
		if (jumpMs > 0) {
			this._handleLeaseEvent({type: 'clockJumped', byMs: jumpMs});
		}
	}

	private _executeRateCommands(commands: readonly RateCommand[]): void {
		for (const command of commands) {
			switch (command.type) {
				case 'reserved': {
					this._settleReservation(command.requestId, {kind: 'reserved'});
					break;
				}

				case 'reserveRefused': {
					const {requestId, retryAfterMs} = command;
					const retry = retryAfterMs === undefined ? {} : {retryAfterMs};
					this._settleReservation(requestId, {kind: 'refused', ...retry});
					break;
				}

				case 'requestTransfer': {
					void this._requestTransferFromPeer(command);
					break;
				}

				case 'sendTransfer': {
					const {transferId, tokens, retryAfterMs} = command;
					const retry = retryAfterMs === undefined ? {} : {retryAfterMs};
					this._pendingTransfers.get(transferId)?.({tokens, ...retry});
					this._pendingTransfers.delete(transferId);
					break;
				}

				case 'refreshHolders': {
					this._handleLeaseEvent({type: 'rowsWanted'});
					break;
				}

				case 'confirmTransfer': {
					const {peer, transferId, customer} = command;
					this._settlements.add(peer, {kind: 'spent', transferId, customer});
					break;
				}

				case 'returnTransfer': {
					const {peer, transferId, customer, tokens} = command;
					this._settlements.add(peer, {
						kind: 'unspent',
						transferId,
						customer,
						tokens,
					});
					break;
				}
			}
		}
	}

	private _settleReservation(requestId: string, result: ReserveResult): void {
		this._count('rate.reserve', {outcome: result.kind});
		this._pendingReservations.get(requestId)?.(result);
		this._pendingReservations.delete(requestId);
	}

	private async _requestTransferFromPeer(
		command: Extract<RateCommand, {readonly type: 'requestTransfer'}>,
	): Promise<void> {
		const {type, ...transfer} = command;
		const {peer, transferId} = transfer;
		const address = this._addressesByHost.get(peer);
		const request = {...transfer, peer: this._options.self.id};
		const result =
			address === undefined
				? ({kind: 'failed'} as const)
				: await this._options.peers.requestTransfer(address, request);
		this._count('rate.transfer', {outcome: result.kind});
		if (result.kind === 'answered') {
			const {answer} = result;
			this._handleRateEvent({
				type: 'transferArrived',
				peer,
				transferId,
				...answer,
			});
			return;
		}

		this._handleRateEvent({type: 'transferFailed', peer, transferId});
		if (result.kind === 'refused') {
			this._handleLeaseEvent({type: 'holderRefused', holder: peer});
		}
	}

	private _sendSettlements(
		peer: string,
		settlements: readonly TransferSettlement[],
	): void {
		const address = this._addressesByHost.get(peer);
		if (address !== undefined) {
			void this._options.peers.settleTransfers(address, settlements);
		}
	}

	private _executeLeaseCommand(command: LeaseCommand): void {
		switch (command.type) {
			case 'readRows': {
				void this._readRows();
				break;
			}

			case 'writeRow': {
				void this._writeRow(command.writeId, command);
				break;
			}

			case 'checkHolder': {
				void this._checkHolder(command);
				break;
			}

			case 'releaseShard': {
				this._releaseShard(command.shard);
				break;
			}

			case 'notifyRate': {
				this._handleRateEvent(command.event);
				break;
			}
		}
	}

	private async _readRows(): Promise<void> {
		try {
			this._updateRows(await this._shardTable.readRows());
		} catch {
			this._count('rate.read_failed');
			this._handleLeaseEvent({type: 'readFailed'});
		}
	}

	private async _writeRow(writeId: string, write: ShardWrite): Promise<void> {
		const result = await this._shardTable.write(write);
		this._count('rate.lease_write', {outcome: result.kind});
		this._handleLeaseEvent({type: 'writeSettled', writeId, result});
	}

	private async _checkHolder(
		command: Extract<LeaseCommand, {readonly type: 'checkHolder'}>,
	): Promise<void> {
		const {shard, version, peerAddress, incarnation} = command;
		const {peers} = this._options;
		const verdict = await peers.checkHolder(peerAddress, incarnation);
		this._handleLeaseEvent({type: 'holderChecked', shard, version, verdict});
	}

	/** Releases a shard with its current token levels. They are read immediately before the release, so no tokens are spent in between. */
	private _releaseShard(shard: string): void {
		const levels = this._core.levelsOf(shard, this._clock.now());
		this._handleLeaseEvent({
			type: 'releaseRequested',
			shard,
			...(levels === undefined ? {} : {levels}),
		});
	}

	private _reportShards(): void {
		const held = this._leases.heldShards.toSorted().join(' ');
		if (held !== this._reportedShards) {
			this._reportedShards = held;
			const {logger, metrics} = this._options.telemetry;
			const shards = this._leases.heldShards;
			logger.info('rate_shards_changed', {shards});
			metrics.gauge('rate.shards', shards.length);
		}
	}

	private _count(name: string, tags?: Readonly<Record<string, string>>): void {
		this._options.telemetry.metrics.increment(name, tags);
	}
}

async function sleep(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
