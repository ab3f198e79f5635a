import type {KeyedRow, RowWrite, DutyOutcome} from '../duties/types.js';
import {collectorsOf} from './collectors.js';
import {maxClockWaitMs} from './constants.js';
import {ContributionRelay} from './contribution-relay.js';
import {ContributionSender} from './contribution-sender.js';
import {Contributions} from './contributions.js';
import {TrueTime, type TrueTimeEstimate} from './true-time.js';
import type {
	Clocks,
	Contribution,
	ContributionAck,
	KnownHolder,
	UsageTimes,
} from './types.js';
import {UsageCounter} from './usage-counter.js';
import {
	UsageReports,
	type DueReport,
	type StoreStep,
	type WindowEnd,
} from './usage-reports.js';
import {isCounts, windowOf} from './usage-window.js';

export type UsageCoreOptions = {
	readonly hostId: string;
	/** Start of this process, in milliseconds since the epoch by its own clock. */
	readonly born: number;
	readonly times: UsageTimes;
	/** Clocks at the start. */
	readonly clocks: Clocks;
	/** All known entries, this one included. Lost ones count, as they may only be cut off. */
	readonly entries: () => readonly string[];
	/** Entries in the order in which they would take the duty over, this one included. */
	readonly order: () => readonly string[];
	/** Called with a decision that another entry has to know before the report is sent. */
	readonly onDecided: (report: DueReport) => void;
	readonly onEnded: (end: WindowEnd, oldestAgeMs: number | undefined) => void;
};

/** A request that is counted once true time is known. */
type PendingCount = {
	readonly customer: string;
	readonly agoMs: number;
	/** Monotonic time. */
	readonly seenAt: number;
};

/** A contribution and the entry to which it goes. */
export type AddressedContribution = {
	readonly target: string;
	readonly contribution: Contribution;
};

/** An entry's part in the usage duty: counts its requests, collects those of others, and decides reports. */
export class UsageCore {
	static create(options: UsageCoreOptions): UsageCore {
		return new UsageCore(options);
	}

	private readonly _trueTime = TrueTime.create();
	private readonly _counter: UsageCounter;
	private readonly _sender = ContributionSender.create();
	private readonly _relay = ContributionRelay.create();
	private readonly _contributions = Contributions.create();
	private readonly _reports: UsageReports;
	private _estimate: TrueTimeEstimate;
	private _epoch: number;
	/** Counts since the start or a suspension; undefined once true time is known. */
	private _pending: PendingCount[] | undefined = [];
	/** Monotonic time at which the own clock is used if those of others are not known. */
	private _settlesAt: number;
	private _holder: KnownHolder | undefined;
	private _token: number | undefined;
	/** Monotonic time of the current call. */
	private _now: number;

	private constructor(private readonly _options: UsageCoreOptions) {
		const {clocks, times, entries, onDecided, onEnded} = _options;
		this._now = clocks.now;
		this._epoch = clocks.epoch;
		this._settlesAt = clocks.now + maxClockWaitMs;
		this._estimate = this._trueTime.estimate(
			clocks.now,
			clocks.wallMs,
			clocks.epoch,
		);
		this._counter = UsageCounter.create(times, this._trueNow(clocks));
		this._reports = UsageReports.create({
			times,
			contributed: () => this._contributions.windows,
			missing: window => this._contributions.missing(window, entries()),
			status: window => this._contributions.status(window, entries()),
			onDecided,
			onEnded: end => {
				const oldestAt = end.status?.oldestAt;
				onEnded(end, oldestAt === undefined ? undefined : this._now - oldestAt);
			},
		});
	}

	/** What is known of true time, as of the last tick. */
	get trueTime(): TrueTimeEstimate {
		return this._estimate;
	}

	/** The newest known holder of the duty. */
	get holder(): KnownHolder | undefined {
		return this._holder;
	}

	/** The entry besides the holder that collects contributions, if this entry holds the duty. */
	get successor(): string | undefined {
		const {hostId} = this._options;
		return this._collectors.find(id => id !== hostId);
	}

	/** Notes the wall clock that another host tells in a message that has just arrived. */
	noteClock(source: string, wallMs: number, {now, epoch}: Clocks): void {
		this._trueTime.note(source, wallMs, now, epoch);
	}

	/** Notes a holder of the duty. The one with the highest token is the newest. */
	noteHolder(holder: KnownHolder | undefined): void {
		if (
			holder !== undefined &&
			(this._holder === undefined || holder.token > this._holder.token)
		) {
			this._holder = holder;
		}
	}

	/**
	 * Counts a request that began to run some time ago. Just after the start or a suspension, only the own clock is known, which
	 * may be off by more than a window, so such a count waits.
	 */
	count(customer: string, agoMs: number, clocks: Clocks): void {
		if (this._pending !== undefined || clocks.epoch !== this._epoch) {
			this._pending ??= [];
			this._pending.push({customer, agoMs, seenAt: clocks.now});
			return;
		}

		const trueNow = this._trueNow(clocks);
		this._counter.count(customer, trueNow - agoMs, trueNow);
	}

	/**
	 * Notes the lease and the era of the store, and returns the contributions that are due. Those to this entry itself are
	 * taken at once.
	 *
	 * @param token token under which this entry holds the duty; undefined if it does not
	 * @param era newest known era of the store
	 */
	tick(
		token: number | undefined,
		era: number,
		clocks: Clocks,
	): readonly AddressedContribution[] {
		const {hostId, born, entries} = this._options;
		this._now = clocks.now;
		if (clocks.epoch !== this._epoch) {
			this._epoch = clocks.epoch;
			this._settlesAt = clocks.now + maxClockWaitMs;
			this._pending ??= [];
		}

		this._estimate = this._trueTime.estimate(
			clocks.now,
			clocks.wallMs,
			clocks.epoch,
		);
		this._countPending(clocks.now);
		const trueNow = this._trueNow(clocks);
		this._token = token;
		this._reports.noteEra(era, trueNow);
		this._reports.noteHeld(token, trueNow);
		if (token !== undefined) {
			this.noteHolder({host: hostId, token});
		}

		const due = this._sender.due(
			this._collectors,
			// The windows of the counts that are pending are not known, so none of them is closed.
			this._pending === undefined
				? this._counter.windows(this._sender.decidedTo, trueNow)
				: [],
			{entryCount: entries().length, holder: this._holder},
			clocks.now,
		);
		const others: AddressedContribution[] = [];
		for (const {target, windows} of due) {
			const contribution: Contribution = {
				host: hostId,
				born,
				since: this._counter.since,
				windows,
			};
			if (target === hostId) {
				this.onAck(this.onContribution(contribution, clocks));
			} else {
				others.push({target, contribution});
			}
		}

		return [...others, ...this._relayed(clocks.now)];
	}

	/** Takes a contribution. Returns the acknowledgement; undefined if there is nothing to acknowledge. */
	onContribution(
		contribution: Contribution,
		clocks: Clocks,
	): ContributionAck | undefined {
		const trueNow = this._trueNow(clocks);
		const totals = this._contributions.merge(
			contribution,
			windowOf(trueNow, this._options.times.windowMs),
			clocks.now,
		);
		if (totals.length === 0) {
			return undefined;
		}

		const decidedTo = this._reports.decidedTo(trueNow);
		return {
			from: this._options.hostId,
			fromBorn: this._options.born,
			host: contribution.host,
			born: contribution.born,
			totals,
			...(decidedTo !== undefined && {decidedTo}),
			...(this._holder !== undefined && {holder: this._holder}),
		};
	}

	/** Takes an acknowledgement of own counts, or of those of an ended process. */
	onAck(ack: ContributionAck | undefined): void {
		if (ack === undefined) {
			return;
		}

		const {hostId, born} = this._options;
		this.noteHolder(ack.holder);
		if (ack.host === hostId && ack.born === born) {
			this._sender.onAcknowledged(ack);
		} else {
			this._relay.onAcknowledged(ack);
		}
	}

	/** Takes a decision that the holder tells. */
	onTold(report: DueReport, clocks: Clocks): void {
		if (isCounts(report.counts)) {
			this._reports.noteTold(report, this._trueNow(clocks));
		}
	}

	nextStoreStep(clocks: Clocks): StoreStep | undefined {
		this._now = clocks.now;
		return this._reports.nextStoreStep(this._trueNow(clocks));
	}

	onReadAll(
		rows: ReadonlyArray<{readonly key: string} & KeyedRow>,
		era: number,
		clocks: Clocks,
	): void {
		this._reports.onReadAll(rows, era, this._trueNow(clocks));
	}

	onRead(
		window: number,
		row: KeyedRow | undefined,
		era: number,
		clocks: Clocks,
	): void {
		this._now = clocks.now;
		this._reports.onRead(window, row, era, this._trueNow(clocks));
	}

	onWritten(
		step: StoreStep & {kind: 'write'},
		write: RowWrite,
		clocks: Clocks,
	): void {
		this._reports.onWritten(step, write, this._trueNow(clocks));
	}

	onRemoved(window: number, clocks: Clocks): void {
		this._reports.onRemoved(window, this._trueNow(clocks));
	}

	onStoreFailed(step: StoreStep, clocks: Clocks): void {
		this._reports.onStoreFailed(step, this._trueNow(clocks));
	}

	nextReport(clocks: Clocks): DueReport | undefined {
		return this._reports.nextReport(this._trueNow(clocks));
	}

	onSent(window: number, outcome: DutyOutcome, clocks: Clocks): void {
		this._now = clocks.now;
		this._reports.onSent(window, outcome, this._trueNow(clocks));
	}

	private _countPending(now: number): void {
		const {offsetMs, errorMs} = this._estimate;
		if (errorMs === undefined && now < this._settlesAt) {
			return;
		}

		for (const {customer, agoMs, seenAt} of this._pending ?? []) {
			const trueSeenAt = seenAt + offsetMs;
			this._counter.count(customer, trueSeenAt - agoMs, trueSeenAt);
		}

		this._pending = undefined;
	}

	/** Counts of ended processes for the holder or, if this entry holds the duty, for its successor. */
	private _relayed(now: number): readonly AddressedContribution[] {
		const isHolder = this._token !== undefined;
		const host = isHolder ? this.successor : this._holder?.host;
		if (host === undefined || host === this._options.hostId) {
			return [];
		}

		const token = isHolder ? undefined : this._holder?.token;
		const ended = this._contributions.ofEnded(this._sender.decidedTo);
		return this._relay
			.due({host, token}, ended, now)
			.map(contribution => ({target: host, contribution}));
	}

	/** While this entry holds the duty, it does not ask who does. */
	private get _collectors(): readonly string[] {
		const {hostId, order} = this._options;
		return collectorsOf(
			this._token === undefined ? this._holder?.host : hostId,
			order(),
		);
	}

	/** True time, in milliseconds since the epoch. After a suspension, the own clock counts until the next tick. */
	private _trueNow({now, wallMs, epoch}: Clocks): number {
		return epoch === this._epoch ? now + this._estimate.offsetMs : wallMs;
	}
}
