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
	TransferAnswer,
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

const tickMs = 50;
const layoutRetryMs = 1000;
const leasePollMs = 20;

/** Longest wait at the start for holders of all shards, in milliseconds. */
const longestStartMs = 2000;

/** Longest wait at the stop for the release of the shards, in milliseconds. */
const longestReleaseMs = 2000;

/** Longest wait of a request for tokens from other holders, in milliseconds. */
const patienceMs = 900;

/** What the rate task is created from. */
export type RateTaskOptions = {
	readonly self: RateHolder;
	readonly incarnation: string;
	/** Where the other processes of the system reach this one. It must listen there before `start`. */
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

/** Carries out the decisions over customers' tokens on an entry. */
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
	private readonly _reservations = new Map<
		string,
		(result: ReserveResult) => void
	>();

	private readonly _answers = new Map<
		string,
		(answer: TransferAnswer) => void
	>();

	private readonly _limits = new Map<string, string>();
	private readonly _addresses = new Map<string, string>();

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
	 * Starts to take leases, and waits a little until all shards have holders.
	 * The process's peer port must listen and its configuration be ready.
	 */
	async start(): Promise<void> {
		const {config, membership} = this._options;
		this._learnLimits(config.view());
		this._learnHosts(membership.hosts());
		this._subscriptions.push(
			config.onAdvanced(view => {
				this._learnLimits(view);
			}),
			membership.onChanged(hosts => {
				this._learnHosts(hosts);
			}),
		);
		this._timer = setInterval(() => {
			this._tick();
		}, tickMs);
		void this._learnShards();
		await this._waitWhile(() => !this._leases.isSettled, longestStartMs);
	}

	/** Ends all spending, then gives the shards to others. The peer port must not close before. */
	async stop(): Promise<void> {
		this._leases.close();
		for (const shard of this._leases.heldShards) {
			this._release(shard);
		}

		this._settlements.flush();
		await this._waitWhile(() => this._leases.isReleasing, longestReleaseMs);
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
			this._reservations.set(requestId, resolve);
			this._handleRate({
				type: 'reserveRequested',
				requestId,
				customer,
				tokens,
				patienceMs,
			});
		});
	}

	giveBack(customer: string, tokens: number, requestId?: string): void {
		if (requestId === undefined) {
			this._count('rate.return_unknown');
			return;
		}

		this._handleRate({type: 'tokensReturned', requestId, tokens});
	}

	async requestTransfer(request: TransferRequest): Promise<TransferAnswer> {
		return new Promise(resolve => {
			this._answers.set(request.transferId, resolve);
			this._handleLease({type: 'peerSeen', peer: request.peer});
			this._handleRate({type: 'transferRequested', ...request});
		});
	}

	settleTransfers(settlements: readonly TransferSettlement[]): void {
		for (const settlement of settlements) {
			const {transferId, customer} = settlement;
			this._handleRate(
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

	/** What this entry knows of the shards, for one that can't read the store. */
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
		longestMs: number,
	): Promise<void> {
		const giveUpAt = this._clock.now() + longestMs;
		while (isWaiting() && this._clock.now() < giveUpAt) {
			// Writes to the store are under way.
			// eslint-disable-next-line no-await-in-loop
			await sleep(leasePollMs);
		}
	}

	private async _learnShards(): Promise<void> {
		while (!this._isStopped) {
			try {
				// Tried again until the store answers.
				// eslint-disable-next-line no-await-in-loop
				const shards = await this._shardTable.layout(this._proposeShards());
				if (shards.length > 0) {
					this._handleLease({type: 'shardsLearned', shards});
					this._tick();
					return;
				}
			} catch {
				this._count('rate.layout_failed');
				// Tried again until somebody answers.
				// eslint-disable-next-line no-await-in-loop
				if (await this._learnFromPeers()) {
					return;
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(layoutRetryMs);
		}
	}

	/** What another entry last read does while the store is down. A claim by an old row fails in the store. */
	private async _learnFromPeers(): Promise<boolean> {
		const {self, membership, peers} = this._options;
		for (const host of membership.hosts()) {
			if (host.role !== 'entry' || host.id === self.id) {
				continue;
			}

			// One peer that knows is enough.
			// eslint-disable-next-line no-await-in-loop
			const map = await peers.readShardMap(host.peerAddress);
			if (map !== undefined && map.shards.length > 0) {
				const rows = new Map(
					map.rows.map(({shard, row, version}) => [shard, {row, version}]),
				);
				this._handleLease({type: 'shardsLearned', shards: map.shards});
				this._learnRows(rows);
				return true;
			}
		}

		return false;
	}

	private _learnRows(rows: ReadonlyMap<string, VersionedShardRow>): void {
		for (const {row} of rows.values()) {
			this._addresses.set(row.holder.id, row.peerAddress);
		}

		this._handleLease({type: 'rowsRead', rows});
	}

	/** One shard for each entry of today, and at least as many as a customer's rate is split over. */
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

	private _learnLimits(view: ConfigView): void {
		const limits = [];
		const names = new Set<string>();
		for (const {name, tokensPerSecond, burstTokens} of view.customers()) {
			names.add(name);
			limits.push({customer: name, tokensPerSecond, burstTokens});
		}

		for (const customer of this._limits.keys()) {
			if (!names.has(customer)) {
				limits.push({customer, tokensPerSecond: 0, burstTokens: 0});
			}
		}

		const changed = limits.filter(limit => {
			const text = `${limit.tokensPerSecond} ${limit.burstTokens}`;
			const isChanged = this._limits.get(limit.customer) !== text;
			this._limits.set(limit.customer, text);
			return isChanged;
		});
		if (changed.length > 0) {
			this._handleRate({type: 'limitsChanged', limits: changed});
		}
	}

	private _learnHosts(hosts: readonly Host[]): void {
		const entries: RateHolder[] = [];
		for (const host of hosts) {
			if (host.role === 'entry' && host.state === 'live') {
				const {id, zone, region} = host;
				entries.push({id, zone, region});
				this._addresses.set(id, host.peerAddress);
			}
		}

		this._handleLease({type: 'entriesChanged', entries});
	}

	private _tick(): void {
		this._handleLease({type: 'tick'});
		this._handleRate({type: 'tick'});
		this._reportShards();
	}

	private _handleRate(event: RateEvent): void {
		this._noteJump();
		this._carryOutRate(this._core.handle(event, this._clock.now()));
	}

	private _handleLease(event: LeaseEvent): void {
		this._noteJump();
		for (const command of this._leases.handle(event, this._clock.now())) {
			this._carryOutLease(command);
		}
	}

	private _noteJump(): void {
		const byMs = this._clock.takeJumpMs();
		if (byMs > 0) {
			this._handleLease({type: 'clockJumped', byMs});
		}
	}

	private _carryOutRate(commands: readonly RateCommand[]): void {
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
					void this._askPeer(command);
					break;
				}

				case 'sendTransfer': {
					const {transferId, tokens, retryAfterMs} = command;
					const retry = retryAfterMs === undefined ? {} : {retryAfterMs};
					this._answers.get(transferId)?.({tokens, ...retry});
					this._answers.delete(transferId);
					break;
				}

				case 'refreshHolders': {
					this._handleLease({type: 'rowsWanted'});
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
		this._reservations.get(requestId)?.(result);
		this._reservations.delete(requestId);
	}

	private async _askPeer(
		command: Extract<RateCommand, {readonly type: 'requestTransfer'}>,
	): Promise<void> {
		const {type, ...asked} = command;
		const {peer, transferId} = asked;
		const address = this._addresses.get(peer);
		const request = {...asked, peer: this._options.self.id};
		const result =
			address === undefined
				? ({kind: 'failed'} as const)
				: await this._options.peers.requestTransfer(address, request);
		this._count('rate.transfer', {outcome: result.kind});
		if (result.kind === 'answered') {
			const {answer} = result;
			this._handleRate({type: 'transferArrived', peer, transferId, ...answer});
			return;
		}

		this._handleRate({type: 'transferFailed', peer, transferId});
		if (result.kind === 'refused') {
			this._handleLease({type: 'holderRefused', holder: peer});
		}
	}

	private _sendSettlements(
		peer: string,
		settlements: readonly TransferSettlement[],
	): void {
		const address = this._addresses.get(peer);
		if (address !== undefined) {
			void this._options.peers.settleTransfers(address, settlements);
		}
	}

	private _carryOutLease(command: LeaseCommand): void {
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
				this._release(command.shard);
				break;
			}

			case 'notifyRate': {
				this._handleRate(command.event);
				break;
			}
		}
	}

	private async _readRows(): Promise<void> {
		try {
			this._learnRows(await this._shardTable.readRows());
		} catch {
			this._count('rate.read_failed');
			this._handleLease({type: 'readFailed'});
		}
	}

	private async _writeRow(writeId: string, write: ShardWrite): Promise<void> {
		const result = await this._shardTable.write(write);
		this._count('rate.lease_write', {outcome: result.kind});
		this._handleLease({type: 'writeSettled', writeId, result});
	}

	private async _checkHolder(
		command: Extract<LeaseCommand, {readonly type: 'checkHolder'}>,
	): Promise<void> {
		const {shard, version, peerAddress, incarnation} = command;
		const {peers} = this._options;
		const verdict = await peers.checkHolder(peerAddress, incarnation);
		this._handleLease({type: 'holderChecked', shard, version, verdict});
	}

	/** Reads the levels before the lease ends, so that nothing is spent after. */
	private _release(shard: string): void {
		const levels = this._core.levelsOf(shard, this._clock.now());
		this._handleLease({
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
