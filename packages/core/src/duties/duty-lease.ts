import {
	leaseMarginMs,
	leaseSettleMs,
	leaseSettleRetryMs,
	leaseWatchMs,
	leasesPerCutOff,
	renewalIntervalMs,
} from './constants.js';
import type {DutyPlace} from './duty-order.js';
import {fencingTokenOf} from './fencing.js';
import {
	decodeLeaseRecord,
	encodeLeaseRecord,
	type LeaseRecord,
} from './lease-record.js';
import type {KeyedRow, RowRead, RowWrite} from './types.js';

/** What an entry does next for the lease of a duty. */
export type LeaseStep =
	/** Nothing for a time, in milliseconds. */
	| {readonly kind: 'wait'; readonly forMs: number}
	| {readonly kind: 'read'}
	/** Writes the row if it has the expected version. */
	| {
			readonly kind: 'write';
			readonly value: string;
			readonly expected: number;
	  };

/** Why an entry lost its right to act. */
export type LeaseLoss =
	/** The store did not answer a renewal in time. */
	| 'expired'
	/** The monotonic clock may have stopped. */
	| 'suspended'
	/** The store came back from a copy. */
	| 'storeEra'
	/** Another entry has the row. */
	| 'takenAway'
	/** This entry gave the lease back. */
	| 'released';

/** A change of this entry's right to act. */
export type LeaseChange =
	/** The lease was taken, or the right to act is back. `withoutHolderMs` is an estimate; absent if unknown. */
	| {
			readonly kind: 'taken' | 'regained';
			readonly token: number;
			readonly previous: string | undefined;
			readonly withoutHolderMs: number | undefined;
	  }
	| {
			readonly kind: 'lost';
			readonly token: number;
			readonly reason: LeaseLoss;
	  };

export type DutyLeaseOptions = {
	/** Name of this host. */
	readonly host: string;
	readonly leaseMs: number;
	/** Returns a text that no other process and no other call returns. */
	readonly createClaim: () => string;
	/** Time at which this process started. */
	readonly now: number;
};

/** The row as this entry last saw it. */
type Seen = {
	readonly row: KeyedRow | undefined;
	readonly record: LeaseRecord | undefined;
	readonly era: number;
	/** Time since which the row has been seen unchanged. */
	readonly since: number;
};

/** The lease as this entry has taken it. */
type Own = {
	readonly record: LeaseRecord;
	readonly token: number;
	readonly takenAt: number;
	/** Version and era in which the row was last known to be this entry's. */
	readonly version: number;
	readonly era: number;
};

type Right = {
	readonly until: number;
	readonly epoch: number;
	readonly era: number;
};

/** A write whose answer is due. */
type Write = {
	readonly kind: 'take' | 'renew' | 'release';
	readonly record: LeaseRecord;
	readonly startedAt: number;
	readonly epoch: number;
	/** Era in which the expected version was seen. */
	readonly era: number;
};

/**
 * An entry's part in the election of a duty's holder. Decides when to read, take, renew and release the lease row, and
 * whether the entry may act. All times are of this entry's monotonic clock; the row holds none.
 *
 * A write that requires a version proves nothing about a row of another era, since versions repeat there. So an answer
 * counts only in the era in which the expected version was seen, and a lease passes into a new era only while the right to
 * act has not run out.
 */
export class DutyLease {
	static create(options: DutyLeaseOptions): DutyLease {
		return new DutyLease(options);
	}

	private readonly _marginMs: number;
	private _era = 0;
	private _eraNoticedAt = Number.NEGATIVE_INFINITY;
	private _seen: Seen | undefined;
	private _own: Own | undefined;
	private _right: Right | undefined;
	/** The write under way. */
	private _write: Write | undefined;
	/** A write whose answer is lost. */
	private _unsettled: Write | undefined;
	private _unsettledAt = 0;
	/** The last write that was to take the lease and got no answer. It may still be applied. */
	private _tried: Write | undefined;
	private _lastReadAt = Number.NEGATIVE_INFINITY;
	private _lastRenewalAt = Number.NEGATIVE_INFINITY;
	/** Time by which this entry has acted for the last time. */
	private _actedBy = Number.NEGATIVE_INFINITY;
	private _release: 'stopping' | 'cutOff' | undefined;
	/** What the last change told of this entry's right. */
	private _told: {readonly token: number; readonly until: number} | undefined;
	private _lostToken: number | undefined;
	private _lostAt = 0;
	/** Time since which the lease that this entry took was without a holder, as far as this entry saw. */
	private _freeSince: number | undefined;

	private constructor(private readonly _options: DutyLeaseOptions) {
		this._marginMs = leaseMarginMs(_options.leaseMs);
	}

	/** Fencing token under which this entry may act; undefined if it may not. */
	heldToken(now: number, epoch: number): number | undefined {
		return this._isRight(now, epoch) ? this._own?.token : undefined;
	}

	/** Time left until this entry's right to act ends, in milliseconds; 0 without a right. */
	rightLeftMs(now: number, epoch: number): number {
		return this._isRight(now, epoch) ? this._right!.until - now : 0;
	}

	/** Whether the lease is this entry's by the last answer, also if its right to act has ended. */
	get isOwn(): boolean {
		return this._own !== undefined;
	}

	/** Host and token of the holder by the last row that was seen. */
	get holder(): {readonly host: string; readonly token: number} | undefined {
		const {host} = this._options;
		if (this._own !== undefined) {
			return {host, token: this._own.token};
		}

		const {row, record, era} = this._seen ?? {};
		return row === undefined ||
			era === undefined ||
			record?.holder === undefined
			? undefined
			: {
					host: record.holder,
					token: record.token ?? fencingTokenOf({era, version: row.version}),
				};
	}

	/** Whether the store answered the newest renewal or take, or is still due to. */
	isStoreAnswering(now: number): boolean {
		return (
			this._unsettled === undefined &&
			now - this._lastRenewalAt < 2 * renewalIntervalMs(this._options.leaseMs)
		);
	}

	/** Whether so long has passed since the last release by a cut-off holder that there may be another one. */
	mayReleaseAsCutOff(now: number): boolean {
		const own = this._own;
		return (
			own !== undefined &&
			(own.record.cutOffAt === undefined || this._isCutOffOver(own, now))
		);
	}

	/** Notes an era of the store. In a new one the right to act ends until the lease is renewed there. */
	noteEra(era: number, now: number): void {
		if (era > this._era) {
			this._era = era;
			this._eraNoticedAt = now;
			this._seen = undefined;
		}
	}

	/** Ends the right to act for good. The lease is released by the next steps, once no call is under way any more. */
	beginRelease(reason: 'stopping' | 'cutOff'): void {
		this._right = undefined;
		this._release = reason;
	}

	/** Returns what to do now. The result of a read or write is to be noted before the next step. */
	next(now: number, epoch: number, place: DutyPlace): LeaseStep {
		if (this._unsettled !== undefined) {
			const readAt = Math.max(
				this._unsettledAt + leaseSettleMs,
				this._lastReadAt + leaseSettleRetryMs,
			);
			return this._readAt(readAt, now);
		}

		if (this._own !== undefined) {
			return this._nextAsOwner(this._own, now, epoch);
		}

		return place.isWatching && this._release !== 'stopping'
			? this._nextAsWatcher(place, now, epoch)
			: {kind: 'wait', forMs: leaseWatchMs};
	}

	/** Notes the result of a read. */
	noteRead({row, era}: RowRead, now: number, epoch: number): void {
		if (era < this._era) {
			return;
		}

		this.noteEra(era, now);
		this._see(row, now);
		this._settle(now, epoch);
	}

	/** Notes the result of the last write. */
	noteWritten(result: RowWrite, now: number, epoch: number): void {
		const write = this._write!;
		if (result.era < this._era) {
			this.noteFailed(now);
			return;
		}

		this._write = undefined;
		this.noteEra(result.era, now);
		this._see(
			result.kind === 'written'
				? {value: encodeLeaseRecord(write.record), version: result.version}
				: result.row,
			now,
		);
		if (result.kind === 'written') {
			this._unsettled = write;
		}

		this._settle(now, epoch);
	}

	/** Notes that the outcome of the last read or write is unknown. */
	noteFailed(now: number): void {
		if (this._write !== undefined) {
			this._unsettled = this._write;
			this._unsettledAt = now;
			this._tried = this._write.kind === 'take' ? this._write : this._tried;
			this._write = undefined;
		}
	}

	/** Returns the change of this entry's right since the last call; undefined if there was none. */
	takeChange(now: number, epoch: number): LeaseChange | undefined {
		const token = this.heldToken(now, epoch);
		const told = this._told;
		if (told !== undefined && token !== told.token) {
			this._told = undefined;
			this._lostToken = told.token;
			this._lostAt = Math.min(now, told.until);
			return {
				kind: 'lost',
				token: told.token,
				reason: this._lossReason(now, epoch),
			};
		}

		if (token === undefined || this._own === undefined) {
			return undefined;
		}

		this._told = {token, until: this._right!.until};
		if (told !== undefined) {
			return undefined;
		}

		const isRegained = token === this._lostToken;
		const {previous} = this._own.record;
		return {
			kind: isRegained ? 'regained' : 'taken',
			token,
			previous,
			withoutHolderMs: isRegained ? now - this._lostAt : this._gapMs(now),
		};
	}

	private _lossReason(now: number, epoch: number): LeaseLoss {
		if (this._release !== undefined) {
			return 'released';
		}

		if (this._own === undefined) {
			return this._right?.era === this._era ? 'takenAway' : 'storeEra';
		}

		if (this._right?.epoch !== epoch) {
			return 'suspended';
		}

		return this._right.era === this._era && now >= this._right.until
			? 'expired'
			: 'storeEra';
	}

	private _gapMs(now: number): number | undefined {
		return this._freeSince === undefined
			? undefined
			: Math.max(0, now - this._freeSince);
	}

	private _isRight(now: number, epoch: number): boolean {
		const right = this._right;
		return (
			right?.epoch === epoch && right.era === this._era && now < right.until
		);
	}

	private _nextAsOwner(own: Own, now: number, epoch: number): LeaseStep {
		if (own.era !== this._era) {
			// The row in the new era decides whether the lease is still this entry's.
			return this._readAt(this._lastReadAt + leaseSettleRetryMs, now);
		}

		if (this._release !== undefined) {
			return this._releaseStep(own, now, epoch);
		}

		const {leaseMs} = this._options;
		const renewAt = this._lastRenewalAt + renewalIntervalMs(leaseMs);
		if (now < renewAt) {
			return {kind: 'wait', forMs: renewAt - now};
		}

		const {cutOffAt, ...record} = own.record;
		return this._writeStep(
			{
				kind: 'renew',
				record: {
					...record,
					token: own.token,
					renewal: record.renewal + 1,
					...(cutOffAt !== undefined &&
						!this._isCutOffOver(own, now) && {cutOffAt}),
				},
				startedAt: now,
				epoch,
			},
			own.version,
		);
	}

	private _releaseStep(own: Own, now: number, epoch: number): LeaseStep {
		const {host} = this._options;
		const {claim, renewal, changes, cutOffAt} = own.record;
		const newCutOffAt = this._release === 'cutOff' ? changes : cutOffAt;
		this._actedBy = Math.min(this._actedBy, now);
		this._loseOwn();
		return this._writeStep(
			{
				kind: 'release',
				record: {
					holder: undefined,
					claim,
					token: own.token,
					renewal: renewal + 1,
					previous: host,
					changes,
					releasedIn: this._era,
					...(newCutOffAt !== undefined && {cutOffAt: newCutOffAt}),
				},
				startedAt: now,
				epoch,
			},
			own.version,
		);
	}

	private _nextAsWatcher(
		{takeDelayMs}: DutyPlace,
		now: number,
		epoch: number,
	): LeaseStep {
		const readAt = this._lastReadAt + leaseWatchMs;
		const seen = this._seen;
		if (seen === undefined) {
			return this._readAt(readAt, now);
		}

		const takeAt = this._freeAt(seen) + takeDelayMs;
		if (now < takeAt || now >= readAt) {
			return this._readAt(readAt, now, takeAt);
		}

		const {record, row} = seen;
		const previous = record?.holder ?? record?.previous;
		this._freeSince =
			record?.holder === undefined
				? record && seen.since
				: seen.since + this._options.leaseMs - this._marginMs;
		return this._writeStep(
			{
				kind: 'take',
				record: {
					holder: this._options.host,
					claim: this._options.createClaim(),
					renewal: 0,
					...(previous !== undefined && {previous}),
					changes: (record?.changes ?? 0) + 1,
					...(record?.cutOffAt !== undefined && {cutOffAt: record.cutOffAt}),
				},
				startedAt: now,
				epoch,
			},
			row?.version ?? 0,
		);
	}

	/** Time from which nobody else can have a right to act, and this entry may follow those that had one. */
	private _freeAt({row, record, era, since}: Seen): number {
		const {now: startedAt, leaseMs} = this._options;
		const waitMs = leaseMs + this._marginMs;
		const isReleased =
			record?.holder === undefined && record?.releasedIn === era;
		return Math.max(
			row === undefined || isReleased ? since : since + waitMs,
			this._eraNoticedAt + waitMs,
			// Between two acts of this entry another one may have acted.
			this._actedBy + waitMs,
			// An earlier process of this host may have acted right before this one started.
			row === undefined ? Number.NEGATIVE_INFINITY : startedAt + waitMs,
		);
	}

	private _readAt(readAt: number, now: number, until = readAt): LeaseStep {
		if (now >= readAt) {
			this._lastReadAt = now;
			return {kind: 'read'};
		}

		return {kind: 'wait', forMs: Math.min(readAt, until) - now};
	}

	private _writeStep(write: Omit<Write, 'era'>, expected: number): LeaseStep {
		this._lastRenewalAt = write.startedAt;
		this._write = {...write, era: this._era};
		return {kind: 'write', value: encodeLeaseRecord(write.record), expected};
	}

	private _see(row: KeyedRow | undefined, now: number): void {
		const seen = this._seen;
		if (
			seen?.row?.version !== row?.version ||
			seen?.row?.value !== row?.value ||
			seen === undefined
		) {
			this._seen = {
				row,
				record: row && decodeLeaseRecord(row.value),
				era: this._era,
				since: now,
			};
		}
	}

	/** Draws the conclusions of the row that was seen last for the lease and for a write without an answer. */
	private _settle(now: number, epoch: number): void {
		const {row, record, era} = this._seen!;
		const write = this._unsettled;
		this._unsettled = undefined;
		const isOwnTake = (tried: Write | undefined): tried is Write =>
			tried?.kind === 'take' &&
			tried.era === era &&
			record?.claim === tried.record.claim;
		const took = [write, this._tried].find(tried => isOwnTake(tried));
		if (row !== undefined && record !== undefined && took !== undefined) {
			this._tried = undefined;
			this._own = {
				record,
				token: fencingTokenOf({era, version: row.version}),
				takenAt: now,
				version: row.version,
				era,
			};
			this._grant(took, now, epoch);
			return;
		}

		if (this._own !== undefined) {
			this._settleOwn(this._own, write, now, epoch);
		}
	}

	private _settleOwn(
		own: Own,
		write: Write | undefined,
		now: number,
		epoch: number,
	): void {
		const {row, record, era} = this._seen!;
		const isStillOwn =
			row !== undefined &&
			record?.holder !== undefined &&
			record.claim === own.record.claim &&
			// In a new era, the lease may have passed to others before the store lost that.
			(era === own.era ||
				(this._right?.epoch === epoch && now < this._right.until));
		if (!isStillOwn) {
			this._loseOwn();
			return;
		}

		this._own = {...own, record, version: row.version, era};
		if (write?.kind === 'renew' && record.renewal === write.record.renewal) {
			this._grant(write, now, epoch);
		}
	}

	/** Grants the right to act from the start of a write that was applied. */
	private _grant(write: Write, now: number, epoch: number): void {
		if (this._release === 'stopping') {
			return;
		}

		const until = write.startedAt + this._options.leaseMs - this._marginMs;
		if (write.epoch === epoch && until > now) {
			this._right = {until, epoch, era: this._era};
			this._actedBy = until;
		}
	}

	private _loseOwn(): void {
		this._own = undefined;
		if (this._release === 'cutOff') {
			this._release = undefined;
		}
	}

	private _isCutOffOver({takenAt}: Own, now: number): boolean {
		return now - takenAt >= leasesPerCutOff * this._options.leaseMs;
	}
}
