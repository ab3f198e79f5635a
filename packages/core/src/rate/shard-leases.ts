import {
	clockRateAllowance,
	holderCheckMs,
	leaseMs,
	leaseRenewalMs,
	leaseRetryMs,
	rebalanceMs,
	rowsWantedMs,
	seenAliveMs,
	shardPollMsPerShard,
	shardReviewMs,
	vacancyMs,
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

/** What the lease decisions need to know of their own entry. */
export type ShardLeasesOptions = {
	readonly self: RateHolder;
	readonly incarnation: string;
	readonly peerAddress: string;
	readonly times?: LeaseTimes;
};

/** How long leases last and how often rows are written and read, in milliseconds. */
export type LeaseTimes = {
	readonly leaseMs: number;
	readonly renewalMs: number;
	/** Time between readings of all rows for each shard that there is. */
	readonly pollMsPerShard: number;
};

const defaultTimes: LeaseTimes = {
	leaseMs,
	renewalMs: leaseRenewalMs,
	pollMsPerShard: shardPollMsPerShard,
};

/** A row as this entry last saw it. */
type SeenRow = VersionedShardRow & {
	/** When this version was first seen. */
	seenAt: number;
	isProvenDead: boolean;
};

/** A write that is to be sent. */
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
 * Decides which shards an entry holds.
 *
 * A row is changed only on the condition that it still has the version that was seen, so no two entries ever hold
 * a shard by the store's word. A holder counts its lease from the moment at which it sent the write; another entry
 * takes the row for lapsed only when it has seen it unchanged for longer than a lease. No two clocks are compared.
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
	private readonly _seenAliveAt = new Map<string, number>();
	private _writeCount = 0;
	private _hasRead = false;
	private _isReading = false;
	private _isClosing = false;
	private _readAt = Number.NEGATIVE_INFINITY;
	private _checkAt = 0;
	/** Earliest time of the next claim. */
	private _claimAt = 0;
	private _reviewAt = 0;
	private _rebalanceAt = 0;

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

	/** The list of shards, empty until it is known. */
	get shards(): readonly RateShard[] {
		return this._shards;
	}

	/** The rows as this entry last saw them. */
	get rows(): ReadonlyMap<string, VersionedShardRow> {
		return this._seen;
	}

	/** Whether each shard has a holder, as far as this entry knows. */
	get isSettled(): boolean {
		return (
			this._shards.length > 0 &&
			this._shards.every(({id}) => this._seen.get(id)?.row.state === 'held')
		);
	}

	/** Whether a release waits for the store. */
	get isReleasing(): boolean {
		return [...this._writes.values()].some(
			write => write.purpose === 'release' && write.isInFlight,
		);
	}

	/** Takes no further shard from now on. */
	close(): void {
		this._isClosing = true;
	}

	/** Takes an event at a time of the monotonic clock and returns what is to be done. */
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
				return this._learnRows(event.rows, now);
			}

			case 'readFailed': {
				this._isReading = false;
				this._readAt = now - this._pollMs + leaseRetryMs;
				return [];
			}

			case 'writeSettled': {
				return this._settleWrite(event.writeId, event.result, now);
			}

			case 'peerSeen': {
				this._seenAliveAt.set(event.peer, now);
				return [];
			}

			case 'rowsWanted': {
				return now - this._readAt >= rowsWantedMs ? this._readRows(now) : [];
			}

			case 'holderRefused': {
				this._seenAliveAt.delete(event.holder);
				return this._checkShardsOf(event.holder);
			}

			case 'holderChecked': {
				return this._noteVerdict(event, now);
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

	/** Looks at all shards, which is too much for each tick of a large fleet. */
	private _review(now: number): readonly LeaseCommand[] {
		if (now < this._reviewAt) {
			return [];
		}

		this._reviewAt = now + shardReviewMs;
		return [
			...this._claimVacant(now),
			...this._checkNextHolder(now),
			...this._rebalance(now),
		];
	}

	/** Grows with the number of shards, so that the store sees as many reads from a large fleet as from a small one. */
	private get _pollMs(): number {
		return this._shards.length * this._times.pollMsPerShard;
	}

	private _pollRows(now: number): readonly LeaseCommand[] {
		return now - this._readAt < this._pollMs ? [] : this._readRows(now);
	}

	private _readRows(now: number): readonly LeaseCommand[] {
		if (this._isReading) {
			return [];
		}

		this._isReading = true;
		this._readAt = now;
		return [{type: 'readRows'}];
	}

	private _learnRows(
		rows: ReadonlyMap<string, VersionedShardRow>,
		now: number,
	): readonly LeaseCommand[] {
		this._isReading = false;
		this._hasRead = true;
		const commands: LeaseCommand[] = [];
		for (const [shard, current] of rows) {
			commands.push(...this._learnRow(shard, current, now));
		}

		return [...commands, this._tellHolders(), ...this._claimVacant(now)];
	}

	/** Takes note of a row, which may show that a write of this entry took effect or that its lease is lost. */
	private _learnRow(
		shard: string,
		current: VersionedShardRow,
		now: number,
	): readonly LeaseCommand[] {
		const seen = this._seen.get(shard);
		if (seen !== undefined && seen.version >= current.version) {
			return [];
		}

		this._seen.set(shard, {...current, seenAt: now, isProvenDead: false});
		const own = this._writes.get(current.row.writeId);
		if (own !== undefined) {
			return this._committed(own, current.version, now);
		}

		const held = this._held.get(shard);
		if (held !== undefined && held.version < current.version) {
			return this._lose(shard);
		}

		return [];
	}

	private _tellHolders(): LeaseCommand {
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
		if (!this._hasRead || this._isClosing || now < this._claimAt) {
			return [];
		}

		const commands: LeaseCommand[] = [];
		for (const {id, region} of this._shards) {
			if (!this._isVacant(id, now) || !this._isOurRegion(region)) {
				this._vacantSince.delete(id);
				continue;
			}

			const since = this._vacantSince.get(id) ?? now;
			this._vacantSince.set(id, since);
			const isShort = this._claimedCount(commands) < this._fairShare();
			// Who proved the death takes over at once: a lost share is worse than an uneven split.
			const isLeft =
				now - since >= this._vacancyMs(id) ||
				this._seen.get(id)?.isProvenDead === true;
			if ((isShort || isLeft) && !this._isWriting(id)) {
				commands.push(this._claim(id, now));
			}
		}

		return commands;
	}

	/** A shard that this entry gave up is left to the others until all of them have read its row. */
	private _vacancyMs(shard: string): number {
		const row = this._seen.get(shard)?.row;
		const isGivenUp =
			row?.state === 'released' && row.holder.id === this._self.id;
		return isGivenUp ? vacancyMs + 2 * this._pollMs : vacancyMs;
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

	/** Shards that an entry of this region takes at once; more only when nobody else does. */
	private _fairShare(): number {
		const {region} = this._self;
		const shards = this._shards.filter(shard => shard.region === region);
		const entries = this._entries.filter(entry => entry.region === region);
		return Math.ceil(shards.length / Math.max(1, entries.length));
	}

	/** A region without entries is looked after by all others. */
	private _isOurRegion(region: string): boolean {
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
			this._isOwnPast(seen.row) ||
			this._hasLapsed(seen, now)
		);
	}

	/** Whether the row has been unchanged for longer than any lease by the holder's clock. */
	private _hasLapsed(seen: SeenRow, now: number): boolean {
		return now - seen.seenAt >= this._times.leaseMs * clockRateAllowance;
	}

	/** This process has the port that the row names, so the process that wrote the row has ended. */
	private _isOwnPast(row: ShardRow): boolean {
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
		const start = startAfter(seen?.row);
		return this._write(shard, {purpose: 'claim', row, start}, now);
	}

	private _write(shard: string, plan: WritePlan, now: number): LeaseCommand {
		const {purpose, row, start = {kind: 'empty'}} = plan;
		const writeId = `${this._self.id}/${this._incarnation}/${this._writeCount++}`;
		const version =
			this._held.get(shard)?.version ?? this._seen.get(shard)?.version;
		const named: ShardRow = {...row, writeId};
		this._writes.set(writeId, {
			writeId,
			shard,
			purpose,
			start,
			row: named,
			version,
			sentAt: now,
			isInFlight: true,
		});
		return {
			type: 'writeRow',
			writeId,
			shard,
			row: named,
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
				return [...this._committed(write, version, now), this._tellHolders()];
			}

			case 'conflict': {
				this._writes.delete(writeId);
				return result.current === undefined
					? []
					: [
							...this._learnRow(write.shard, result.current, now),
							this._tellHolders(),
						];
			}

			case 'unavailable': {
				this._writes.delete(writeId);
				this._claimAt = now + leaseRetryMs;
				return [];
			}

			case 'lost': {
				// The next reading of the rows shows whether it took effect.
				this._readAt = Math.min(
					this._readAt,
					now - this._pollMs + leaseRetryMs,
				);
				return [];
			}
		}
	}

	/** A write of this entry is the row's present state. All other writes to that row have failed. */
	private _committed(
		write: PendingWrite,
		version: number,
		now: number,
	): readonly LeaseCommand[] {
		const {shard, purpose, row, start, sentAt} = write;
		this._forgetWrites(shard, version);
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

	/** Forgets the writes that were conditional on a version older than the row's present one. */
	private _forgetWrites(shard: string, version: number): void {
		for (const [writeId, write] of this._writes) {
			if (write.shard === shard && (write.version ?? 0) < version) {
				this._writes.delete(writeId);
			}
		}
	}

	private _lose(shard: string): readonly LeaseCommand[] {
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
		// The write is built first, since it is conditional on the held version.
		const write = this._write(shard, {purpose: 'release', row}, now);
		return [...this._lose(shard), write];
	}

	private _checkShardsOf(holder: string): readonly LeaseCommand[] {
		const commands: LeaseCommand[] = [];
		for (const [shard, {row, version}] of this._seen) {
			if (row.state === 'held' && row.holder.id === holder) {
				commands.push(checkOf(shard, row, version));
			}
		}

		return commands;
	}

	private _noteVerdict(
		event: EventOf<'holderChecked'>,
		now: number,
	): readonly LeaseCommand[] {
		const seen = this._seen.get(event.shard);
		if (seen?.version !== event.version || event.verdict !== 'dead') {
			return [];
		}

		seen.isProvenDead = true;
		this._seenAliveAt.delete(seen.row.holder.id);
		return this._claimVacant(now);
	}

	/** Looks after the holder of the shard that follows an own one, so that each holder has somebody who does. */
	private _checkNextHolder(now: number): readonly LeaseCommand[] {
		if (now < this._checkAt) {
			return [];
		}

		this._checkAt = now + holderCheckMs;
		const ids = this._shards.map(shard => shard.id);
		const commands: LeaseCommand[] = [];
		for (const [i, id] of ids.entries()) {
			const next = ids[(i + 1) % ids.length] ?? id;
			const seen = this._seen.get(next);
			const isOthers =
				seen?.row.state === 'held' && seen.row.holder.id !== this._self.id;
			if (this._held.has(id) && isOthers) {
				commands.push(checkOf(next, seen.row, seen.version));
			}
		}

		return commands;
	}

	/** Gives a shard up when this entry has more than its share and another has none. */
	private _rebalance(now: number): readonly LeaseCommand[] {
		const [shard] = this._held.keys();
		if (
			shard === undefined ||
			now < this._rebalanceAt ||
			this._held.size <= this._fairShare() ||
			!this._isEntryWithout(now)
		) {
			return [];
		}

		this._rebalanceAt = now + rebalanceMs;
		return [{type: 'releaseShard', shard}];
	}

	/** Whether an entry that surely lives has no shard. The platform's list also names entries that died. */
	private _isEntryWithout(now: number): boolean {
		const holders = new Set<string>();
		for (const {row} of this._seen.values()) {
			holders.add(row.holder.id);
		}

		return this._entries.some(
			entry =>
				entry.region === this._self.region &&
				!holders.has(entry.id) &&
				now - (this._seenAliveAt.get(entry.id) ?? -seenAliveMs) < seenAliveMs,
		);
	}
}

function startAfter(row: ShardRow | undefined): ShardStart {
	if (row === undefined) {
		return {kind: 'full'};
	}

	return row.state === 'released' && row.levels !== undefined
		? {kind: 'levels', levels: row.levels}
		: {kind: 'empty'};
}

function checkOf(shard: string, row: ShardRow, version: number): LeaseCommand {
	const {peerAddress, incarnation} = row;
	return {type: 'checkHolder', shard, version, peerAddress, incarnation};
}
