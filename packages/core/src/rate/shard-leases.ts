import {
	clockRateAllowance,
	holderCheckMs,
	leaseMs,
	leaseRenewalMs,
	leaseRetryMs,
	shardRebalanceIntervalMs,
	minRowReadIntervalMs,
	livenessTimeoutMs,
	shardPollMsPerShard,
	shardReviewIntervalMs,
	vacancyGraceMs,
} from './constants.js';
import type {
	LeaseCommand,
	LeaseEvent,
	PendingWrite,
	ShardRow,
	ShardWriteResult,
	VersionedShardRow,
} from './lease-types.js';
import type {RateHolder, RateShard, ShardLevels, ShardStart} from './types.js';

type EventOf<T extends LeaseEvent['type']> = Extract<
	LeaseEvent,
	{readonly type: T}
>;

/** Identity and settings of the entry that manages the leases. */
export type ShardLeasesOptions = {
	readonly self: RateHolder;
	/** Unique for each start of the process. */
	readonly incarnation: string;
	/** Address at which other entries reach this process. */
	readonly peerAddress: string;
	readonly times?: LeaseTimes;
};

/** Duration of leases and intervals of writes and reads, in milliseconds. */
export type LeaseTimes = {
	readonly leaseMs: number;
	readonly renewalMs: number;
	/** Time between reads of all rows, per shard: the interval is this times the number of shards. */
	readonly pollMsPerShard: number;
};

const defaultTimes: LeaseTimes = {
	leaseMs,
	renewalMs: leaseRenewalMs,
	pollMsPerShard: shardPollMsPerShard,
};

/** A row as this entry last saw it. */
type SeenRow = VersionedShardRow & {
	/** When this version was first seen, on the monotonic clock. */
	seenAt: number;
	/** Whether a check proved that the holder's process has ended. */
	isProvenDead: boolean;
};

/** A write to send. */
type WritePlan = Pick<PendingWrite, 'purpose' | 'row'> & {
	readonly start?: ShardStart;
};

/** A shard that this entry holds. */
type HeldLease = {
	version: number;
	row: ShardRow;
	renewAt: number;
};

/**
 * Manages the shard leases of one entry. It performs no I/O: it turns events into commands.
 *
 * Each shard has one row in the store. Every write is conditional on the row version that was last seen, so the store
 * never records two holders of a shard. A holder counts its lease from the time at which it sent the write. Another
 * entry considers the lease expired only after it has seen the row unchanged for longer than a lease. Clocks of
 * different hosts are never compared.
 */
export class ShardLeases {
	static create(options: ShardLeasesOptions): ShardLeases {
		return new ShardLeases(options);
	}

	private readonly _self: RateHolder;
	private readonly _incarnation: string;
	private readonly _peerAddress: string;
	private readonly _times: LeaseTimes;
	private _shards: readonly RateShard[] = [];
	private _entries: readonly RateHolder[] = [];
	private readonly _seen = new Map<string, SeenRow>();
	private readonly _held = new Map<string, HeldLease>();
	private readonly _writes = new Map<string, PendingWrite>();
	private readonly _vacantSince = new Map<string, number>();
	private readonly _lastAliveAt = new Map<string, number>();
	private _writeCount = 0;
	private _hasRead = false;
	private _isReading = false;
	private _isClosing = false;
	private _lastReadAt = Number.NEGATIVE_INFINITY;
	private _nextCheckAt = 0;
	/** Earliest time of the next claim. */
	private _nextClaimAt = 0;
	private _nextReviewAt = 0;
	private _nextRebalanceAt = 0;

	private constructor(options: ShardLeasesOptions) {
		this._self = options.self;
		this._incarnation = options.incarnation;
		this._peerAddress = options.peerAddress;
		this._times = options.times ?? defaultTimes;
	}

	/** Shards that this entry holds. */
	get heldShards(): readonly string[] {
		return [...this._held.keys()];
	}

	/** The list of shards, empty until it has been read. */
	get shards(): readonly RateShard[] {
		return this._shards;
	}

	/** The rows as this entry last saw them. */
	get rows(): ReadonlyMap<string, VersionedShardRow> {
		return this._seen;
	}

	/** Whether every shard has a holder according to the rows that this entry has seen. */
	get isFullyHeld(): boolean {
		return (
			this._shards.length > 0 &&
			this._shards.every(({id}) => this._seen.get(id)?.row.state === 'held')
		);
	}

	/** Whether a release is in flight to the store. */
	get isReleasing(): boolean {
		return [...this._writes.values()].some(
			write => write.purpose === 'release' && write.isInFlight,
		);
	}

	/** Stops claiming shards. Leases that this entry holds are still renewed. */
	close(): void {
		this._isClosing = true;
	}

	/** Handles an event at a time of the monotonic clock, in milliseconds, and returns the resulting commands. */
	handle(event: LeaseEvent, now: number): readonly LeaseCommand[] {
		switch (event.type) {
			case 'shardsLearned': {
				this._shards = event.shards;
				return [{type: 'notifyRate', event}];
			}

			case 'entriesChanged': {
				this._entries = event.entries;
				return [];
			}

			case 'rowsRead': {
				return this._applyRows(event.rows, now);
			}

			case 'readFailed': {
				this._isReading = false;
				this._lastReadAt = now - this._pollMs + leaseRetryMs;
				return [];
			}

			case 'writeSettled': {
				return this._settleWrite(event.writeId, event.result, now);
			}

			case 'peerSeen': {
				this._lastAliveAt.set(event.peer, now);
				return [];
			}

			case 'rowsWanted': {
				return now - this._lastReadAt >= minRowReadIntervalMs
					? this._readRows(now)
					: [];
			}

			case 'holderRefused': {
				this._lastAliveAt.delete(event.holder);
				return this._checkShardsOf(event.holder);
			}

			case 'holderChecked': {
				return this._applyVerdict(event, now);
			}

			case 'releaseRequested': {
				return this._release(event.shard, event.levels, now);
			}

			case 'clockJumped': {
				for (const write of this._writes.values()) {
					write.sentAt -= event.byMs;
				}

				return [{type: 'notifyRate', event}];
			}

			case 'tick': {
				return this._tick(now);
			}
		}
	}

	private _tick(now: number): readonly LeaseCommand[] {
		if (this._shards.length === 0) {
			return [];
		}

		return [
			...this._pollRows(now),
			...this._renewDue(now),
			...this._review(now),
		];
	}

	/** Reviews all shards at a fixed interval, as doing so on each tick would be too costly in a large fleet. */
	private _review(now: number): readonly LeaseCommand[] {
		if (now < this._nextReviewAt) {
			return [];
		}

		this._nextReviewAt = now + shardReviewIntervalMs;
		return [
			...this._claimVacant(now),
			...this._checkNextHolder(now),
			...this._rebalance(now),
		];
	}

	/**
	 * Time between reads of all rows. Proportional to the number of shards, so a larger fleet does not send the store
	 * more reads.
	 */
	private get _pollMs(): number {
		return this._shards.length * this._times.pollMsPerShard;
	}

	private _pollRows(now: number): readonly LeaseCommand[] {
		return now - this._lastReadAt < this._pollMs ? [] : this._readRows(now);
	}

	private _readRows(now: number): readonly LeaseCommand[] {
		if (this._isReading) {
			return [];
		}

		this._isReading = true;
		this._lastReadAt = now;
		return [{type: 'readRows'}];
	}

	private _applyRows(
		rows: ReadonlyMap<string, VersionedShardRow>,
		now: number,
	): readonly LeaseCommand[] {
		this._isReading = false;
		this._hasRead = true;
		const commands: LeaseCommand[] = [];
		for (const [shard, current] of rows) {
			commands.push(...this._applyRow(shard, current, now));
		}

		return [...commands, this._reportHolders(), ...this._claimVacant(now)];
	}

	/** Applies a row, which may show that a write of this entry took effect or that its lease was lost. */
	private _applyRow(
		shard: string,
		current: VersionedShardRow,
		now: number,
	): readonly LeaseCommand[] {
		const seen = this._seen.get(shard);
		if (seen !== undefined && seen.version >= current.version) {
			return [];
		}

		this._seen.set(shard, {...current, seenAt: now, isProvenDead: false});
		const ownWrite = this._writes.get(current.row.writeId);
		if (ownWrite !== undefined) {
			return this._applyCommit(ownWrite, current.version, now);
		}

		const held = this._held.get(shard);
		if (held !== undefined && held.version < current.version) {
			return this._dropLease(shard);
		}

		return [];
	}

	private _reportHolders(): LeaseCommand {
		const holders = new Map<string, RateHolder>();
		for (const [shard, {row}] of this._seen) {
			if (row.state === 'held') {
				holders.set(shard, row.holder);
			}
		}

		return {type: 'notifyRate', event: {type: 'holdersLearned', holders}};
	}

	private _renewDue(now: number): readonly LeaseCommand[] {
		const commands: LeaseCommand[] = [];
		for (const [shard, held] of this._held) {
			if (now >= held.renewAt && !this._isWriting(shard)) {
				held.renewAt = now + leaseRetryMs;
				commands.push(
					this._write(shard, {purpose: 'renew', row: held.row}, now),
				);
			}
		}

		return commands;
	}

	private _claimVacant(now: number): readonly LeaseCommand[] {
		if (!this._hasRead || this._isClosing || now < this._nextClaimAt) {
			return [];
		}

		const commands: LeaseCommand[] = [];
		for (const {id, region} of this._shards) {
			if (!this._isVacant(id, now) || !this._canClaimIn(region)) {
				this._vacantSince.delete(id);
				continue;
			}

			const since = this._vacantSince.get(id) ?? now;
			this._vacantSince.set(id, since);
			const isBelowShare = this._claimedCount(commands) < this._fairShare();
			// The entry that proved the holder dead takes over at once: a missing shard is worse than an uneven split.
			const isUnclaimed =
				now - since >= this._vacancyGraceMs(id) ||
				this._seen.get(id)?.isProvenDead === true;
			if ((isBelowShare || isUnclaimed) && !this._isWriting(id)) {
				commands.push(this._claim(id, now));
			}
		}

		return commands;
	}

	/**
	 * Time for which the shard must be vacant before this entry claims more than its fair share. Longer for a shard that
	 * this entry released, so that all other entries read the row and can claim it first.
	 */
	private _vacancyGraceMs(shard: string): number {
		const row = this._seen.get(shard)?.row;
		const isReleasedHere =
			row?.state === 'released' && row.holder.id === this._self.id;
		return isReleasedHere ? vacancyGraceMs + 2 * this._pollMs : vacancyGraceMs;
	}

	private _claimedCount(commands: readonly LeaseCommand[]): number {
		const claiming = [...this._writes.values()].filter(
			write => write.purpose === 'claim' && write.isInFlight,
		);
		return Math.max(
			this._held.size + claiming.length,
			this._held.size + commands.length,
		);
	}

	/** Number of shards that an entry of this region claims at once. It claims more only after the grace period. */
	private _fairShare(): number {
		const {region} = this._self;
		const shards = this._shards.filter(shard => shard.region === region);
		const entries = this._entries.filter(entry => entry.region === region);
		return Math.ceil(shards.length / Math.max(1, entries.length));
	}

	/** Whether this entry may claim shards of the region. Entries of all regions may claim those of a region without entries. */
	private _canClaimIn(region: string): boolean {
		return (
			region === this._self.region ||
			(this._entries.length > 0 &&
				this._entries.every(entry => entry.region !== region))
		);
	}

	private _isVacant(shard: string, now: number): boolean {
		const seen = this._seen.get(shard);
		if (this._held.has(shard)) {
			return false;
		}

		if (seen === undefined || seen.row.state === 'released') {
			return true;
		}

		return (
			seen.isProvenDead ||
			this._isFromEarlierProcess(seen.row) ||
			this._hasExpired(seen, now)
		);
	}

	/** Whether the row has been unchanged for longer than a lease, even if the holder's clock is slower. */
	private _hasExpired(seen: SeenRow, now: number): boolean {
		return now - seen.seenAt >= this._times.leaseMs * clockRateAllowance;
	}

	/**
	 * Whether an earlier process wrote the row. This process listens at the address in the row, so the earlier process
	 * has ended.
	 */
	private _isFromEarlierProcess(row: ShardRow): boolean {
		return row.peerAddress === this._peerAddress;
	}

	private _claim(shard: string, now: number): LeaseCommand {
		const seen = this._seen.get(shard);
		const row: ShardRow = {
			state: 'held',
			holder: this._self,
			incarnation: this._incarnation,
			peerAddress: this._peerAddress,
			epoch: (seen?.row.epoch ?? 0) + 1,
			writeId: '',
		};
		const start = shardStartAfter(seen?.row);
		return this._write(shard, {purpose: 'claim', row, start}, now);
	}

	private _write(shard: string, plan: WritePlan, now: number): LeaseCommand {
		const {purpose, row, start = {kind: 'empty'}} = plan;
		const writeId = `${this._self.id}/${this._incarnation}/${this._writeCount++}`;
		const version =
			this._held.get(shard)?.version ?? this._seen.get(shard)?.version;
		const rowToWrite: ShardRow = {...row, writeId};
		this._writes.set(writeId, {
			writeId,
			shard,
			purpose,
			start,
			row: rowToWrite,
			version,
			sentAt: now,
			isInFlight: true,
		});
		return {
			type: 'writeRow',
			writeId,
			shard,
			row: rowToWrite,
			...(version === undefined ? {} : {version}),
		};
	}

	private _isWriting(shard: string): boolean {
		for (const write of this._writes.values()) {
			if (write.shard === shard && write.isInFlight) {
				return true;
			}
		}

		return false;
	}

	private _settleWrite(
		writeId: string,
		result: ShardWriteResult,
		now: number,
	): readonly LeaseCommand[] {
		const write = this._writes.get(writeId);
		if (write === undefined) {
			return [];
		}

		write.isInFlight = false;
		switch (result.kind) {
			case 'committed': {
				const {row, shard} = write;
				const {version} = result;
				this._seen.set(shard, {row, version, seenAt: now, isProvenDead: false});
				return [
					...this._applyCommit(write, version, now),
					this._reportHolders(),
				];
			}

			case 'conflict': {
				this._writes.delete(writeId);
				return result.current === undefined
					? []
					: [
							...this._applyRow(write.shard, result.current, now),
							this._reportHolders(),
						];
			}

			case 'unavailable': {
				this._writes.delete(writeId);
				this._nextClaimAt = now + leaseRetryMs;
				return [];
			}

			case 'lost': {
				// The next read of the rows shows whether the write took effect.
				this._lastReadAt = Math.min(
					this._lastReadAt,
					now - this._pollMs + leaseRetryMs,
				);
				return [];
			}
		}
	}

	/** Applies a committed write of this entry. Its other writes that expected an older version of the row have failed. */
	private _applyCommit(
		write: PendingWrite,
		version: number,
		now: number,
	): readonly LeaseCommand[] {
		const {shard, purpose, row, start, sentAt} = write;
		this._discardWrites(shard, version);
		if (purpose === 'release') {
			return [];
		}

		const validUntil = sentAt + this._times.leaseMs;
		const isHeld = this._held.has(shard);
		if (purpose === 'renew' && !isHeld) {
			return [];
		}

		this._held.set(shard, {version, row, renewAt: now + this._times.renewalMs});
		const {epoch} = row;
		return [
			{
				type: 'notifyRate',
				event: {type: 'leaseGranted', shard, epoch, validUntil, start},
			},
		];
	}

	/** Discards the writes that were conditional on an older version than the row has now. */
	private _discardWrites(shard: string, version: number): void {
		for (const [writeId, write] of this._writes) {
			if (write.shard === shard && (write.version ?? 0) < version) {
				this._writes.delete(writeId);
			}
		}
	}

	private _dropLease(shard: string): readonly LeaseCommand[] {
		this._held.delete(shard);
		return [{type: 'notifyRate', event: {type: 'leaseLost', shard}}];
	}

	private _release(
		shard: string,
		levels: ShardLevels | undefined,
		now: number,
	): readonly LeaseCommand[] {
		const held = this._held.get(shard);
		if (held === undefined) {
			return [];
		}

		const row: ShardRow = {
			...held.row,
			state: 'released',
			...(levels === undefined ? {} : {levels}),
		};
		// Build the write before dropping the lease, as it is conditional on the held version.
		const write = this._write(shard, {purpose: 'release', row}, now);
		return [...this._dropLease(shard), write];
	}

	private _checkShardsOf(holder: string): readonly LeaseCommand[] {
		const commands: LeaseCommand[] = [];
		for (const [shard, {row, version}] of this._seen) {
			if (row.state === 'held' && row.holder.id === holder) {
				commands.push(checkHolderCommand(shard, row, version));
			}
		}

		return commands;
	}

	private _applyVerdict(
		event: EventOf<'holderChecked'>,
		now: number,
	): readonly LeaseCommand[] {
		const seen = this._seen.get(event.shard);
		if (seen?.version !== event.version || event.verdict !== 'dead') {
			return [];
		}

		seen.isProvenDead = true;
		this._lastAliveAt.delete(seen.row.holder.id);
		return this._claimVacant(now);
	}

	/** Checks the holder of the shard that follows each shard held here, so every holder is checked by another entry. */
	private _checkNextHolder(now: number): readonly LeaseCommand[] {
		if (now < this._nextCheckAt) {
			return [];
		}

		this._nextCheckAt = now + holderCheckMs;
		const ids = this._shards.map(shard => shard.id);
		const commands: LeaseCommand[] = [];
		for (const [i, id] of ids.entries()) {
			const next = ids[(i + 1) % ids.length] ?? id;
			const seen = this._seen.get(next);
			const isHeldByOther =
				seen?.row.state === 'held' && seen.row.holder.id !== this._self.id;
			if (this._held.has(id) && isHeldByOther) {
				commands.push(checkHolderCommand(next, seen.row, seen.version));
			}
		}

		return commands;
	}

	/** Releases a shard if this entry holds more than its share and another entry holds none. */
	private _rebalance(now: number): readonly LeaseCommand[] {
		const [shard] = this._held.keys();
		if (
			shard === undefined ||
			now < this._nextRebalanceAt ||
			this._held.size <= this._fairShare() ||
			!this._hasEntryWithoutShard(now)
		) {
			return [];
		}

		this._nextRebalanceAt = now + shardRebalanceIntervalMs;
		return [{type: 'releaseShard', shard}];
	}

	/**
	 * Whether an entry that was recently alive holds no shard. The platform's list of entries is not enough, as it
	 * also contains entries that have crashed.
	 */
	private _hasEntryWithoutShard(now: number): boolean {
		const holders = new Set<string>();
		for (const {row} of this._seen.values()) {
			holders.add(row.holder.id);
		}

		return this._entries.some(
			entry =>
				entry.region === this._self.region &&
				!holders.has(entry.id) &&
				now - (this._lastAliveAt.get(entry.id) ?? -livenessTimeoutMs) <
					livenessTimeoutMs,
		);
	}
}

/** Initial levels of the buckets under a claim that replaces the row. */
function shardStartAfter(row: ShardRow | undefined): ShardStart {
	if (row === undefined) {
		return {kind: 'full'};
	}

	return row.state === 'released' && row.levels !== undefined
		? {kind: 'levels', levels: row.levels}
		: {kind: 'empty'};
}

function checkHolderCommand(
	shard: string,
	row: ShardRow,
	version: number,
): LeaseCommand {
	const {peerAddress, incarnation} = row;
	return {type: 'checkHolder', shard, version, peerAddress, incarnation};
}
