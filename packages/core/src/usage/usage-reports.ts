import type {DutyOutcome, KeyedRow, RowWrite} from '../duties/types.js';
import type {WindowStatus} from './contributions.js';
import {
	heldRetryMs,
	maxContributionWaitShare,
	maxMarkAttempts,
	maxOpenWindows,
	maxUsageRows,
	reportBackoffMs,
	takeoverWaitMs,
	usageStoreRetryMs,
} from './constants.js';
import type {UsageCounts, UsageTimes} from './types.js';
import {
	decodeUsageRow,
	encodeUsageRow,
	endOf,
	windowOf,
} from './usage-window.js';

/** Step at the store that is due. Each is answered by the method of the same name, or by `onStoreFailed`. */
export type StoreStep =
	| {readonly kind: 'readAll'}
	| {readonly kind: 'read'; readonly window: number}
	| {
			readonly kind: 'write';
			readonly window: number;
			readonly text: string;
			/** Version that the row must have; 0 if there must be none. */
			readonly expected: number;
	  }
	| {readonly kind: 'remove'; readonly window: number};

/** A report to send to the platform. */
export type DueReport = {
	readonly window: number;
	readonly counts: UsageCounts;
};

/** How the report of a window ended at this entry. */
export type WindowOutcome =
	| 'reported'
	| 'late'
	/** No report came in the time in which windows are decided or sent. */
	| 'tooOld'
	/** Nobody has told counts. */
	| 'noContributions'
	/** A decision from before the store went back may be lost. */
	| 'decisionMayBeLost'
	/** The row differs from the decision that this entry knows. */
	| 'decisionsDiffer';

export type WindowEnd = {
	readonly window: number;
	readonly outcome: WindowOutcome;
	readonly counts: UsageCounts | undefined;
	/** What was known at the decision; undefined if another entry decided. */
	readonly status: WindowStatus | undefined;
	readonly attempts: number;
	/** Time from the end of the window, in milliseconds. */
	readonly afterMs: number;
};

export type UsageReportsOptions = {
	readonly times: UsageTimes;
	/** What is known of a window's contributions. */
	readonly status: (window: number) => WindowStatus;
	/** Windows with contributions. */
	readonly contributed: () => Iterable<number>;
	/** Number of known entries that have not told all their counts for a window. */
	readonly missing: (window: number) => number;
	/** Called when the row of a window is known, before its report is sent. */
	readonly onDecided: (report: DueReport) => void;
	readonly onEnded: (end: WindowEnd) => void;
};

type Phase =
	/** Nothing is known of a decision. */
	| 'open'
	/** The store has no row, or a write is under way or its answer is lost. */
	| 'deciding'
	/** Another entry told its decision, or the store may have lost the row. */
	| 'told'
	/** The row is known. */
	| 'decided'
	| 'acknowledged'
	/** This entry does not report the window. */
	| 'left';

type Window = {
	readonly window: number;
	phase: Phase;
	/** Counts that are decided, or that this entry tries to decide. */
	counts: UsageCounts | undefined;
	status: WindowStatus | undefined;
	/** Version of the row. */
	version: number;
	/** Whether the store must be asked whether a row exists before anything is written. */
	mustRead: boolean;
	/** True time at which the report was acknowledged; undefined before. */
	acknowledgedAt: number | undefined;
	/** Whether the row says so. */
	isMarked: boolean;
	/** Whether two decisions are known, so that none may be sent. */
	isBarred: boolean;
	markAttempts: number;
	attempts: number;
	backoffMs: number;
	nextSendAt: number;
};

/**
 * Decides what the holder of the usage duty reports. The counts of a window are decided by a row that is written if there is
 * none, and the report is what the row holds, so whoever holds the duty sends the same. All times are true time, in
 * milliseconds since the epoch.
 *
 * A store that comes back from an older copy may have lost rows whose reports were accepted. So a window that ended before
 * this was noticed is decided anew only by an entry that has held the duty for the whole window and since: nobody else can
 * have sent a report of it.
 */
export class UsageReports {
	static create(options: UsageReportsOptions): UsageReports {
		return new UsageReports(options);
	}

	private readonly _windows = new Map<number, Window>();
	private _isHeld = false;
	/** Token under which this entry holds the duty, or last held it. */
	private _token: number | undefined;
	private _heldSince = Number.POSITIVE_INFINITY;
	/** Newest known era of the store; undefined before the first. */
	private _era: number | undefined;
	/** Windows that ended before this time may have lost their rows. */
	private _eraNotedAt = Number.NEGATIVE_INFINITY;
	private _mustReadAll = true;
	private _storeRetryAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly _options: UsageReportsOptions) {}

	/** The newest window up to which all are decided or left; undefined while the duty is not held. */
	decidedTo(now: number): number | undefined {
		if (!this._isHeld || this._mustReadAll) {
			return undefined;
		}

		const undecided = this._candidates(now).find(no => {
			const phase = this._windows.get(no)?.phase ?? 'open';
			return phase === 'open' || phase === 'deciding';
		});
		return (undecided ?? windowOf(now, this._windowMs)) - 1;
	}

	/**
	 * Notes under which token this entry holds the duty; undefined if it does not. If it holds it again under the same token,
	 * nobody else has held it in between.
	 */
	noteHeld(token: number | undefined, now: number): void {
		this._isHeld = token !== undefined;
		if (token === undefined || token === this._token) {
			return;
		}

		this._token = token;
		this._heldSince = now;
		// Others may have decided since this entry last knew the rows.
		this._mustReadAll = true;
		for (const window of this._windows.values()) {
			window.mustRead = true;
			window.nextSendAt = now;
			window.backoffMs = reportBackoffMs.initial;
			if (window.phase === 'deciding') {
				window.phase = 'open';
			}
		}
	}

	/** Notes the era of the store. */
	noteEra(era: number, now: number): void {
		if (this._era !== undefined && era <= this._era) {
			return;
		}

		const isFirst = this._era === undefined;
		this._era = era;
		if (isFirst && era === 0) {
			// The store has never gone back.
			return;
		}

		this._eraNotedAt = now;
		this._mustReadAll = true;
		for (const window of this._windows.values()) {
			window.mustRead = true;
			window.version = 0;
			window.isMarked = false;
			window.markAttempts = 0;
			if (window.phase === 'deciding') {
				window.phase = 'open';
			}
		}
	}

	/** Notes a decision that another entry tells. Its report may have been sent. */
	noteTold({window: no, counts}: DueReport, now: number): void {
		const window = this._windowAt(no, now);
		if (
			window !== undefined &&
			(window.phase === 'open' ||
				window.phase === 'deciding' ||
				(window.phase === 'left' && !window.isBarred))
		) {
			window.phase = 'told';
			window.counts = counts;
			window.status = undefined;
			window.mustRead = true;
		}
	}

	/** The next step at the store; undefined if none is due. */
	nextStoreStep(now: number): StoreStep | undefined {
		this._leaveOld(now);
		if (!this._isHeld || now < this._storeRetryAt) {
			return undefined;
		}

		if (this._mustReadAll) {
			return {kind: 'readAll'};
		}

		for (const no of this._candidates(now)) {
			const step = this._stepOf(no, now);
			if (step !== undefined) {
				return step;
			}
		}

		return this._removal(now);
	}

	/** Takes all rows of the store. */
	onReadAll(
		rows: ReadonlyArray<{readonly key: string} & KeyedRow>,
		era: number,
		now: number,
	): void {
		if (this._isOutdated(era, now)) {
			return;
		}

		this._mustReadAll = false;
		for (const {value, version} of rows) {
			const row = decodeUsageRow(value);
			if (row !== undefined) {
				this._takeRow(row.window, {value, version}, now);
			}
		}
	}

	onRead(
		no: number,
		row: KeyedRow | undefined,
		era: number,
		now: number,
	): void {
		const window = this._windows.get(no);
		if (this._isOutdated(era, now) || window === undefined) {
			return;
		}

		window.mustRead = false;
		if (row !== undefined) {
			this._takeRow(no, row, now);
		} else if (window.phase === 'open') {
			this._beginDecision(window, now);
		}
	}

	onWritten(step: StoreStep & {kind: 'write'}, write: RowWrite, now: number) {
		const window = this._windows.get(step.window);
		if (this._isOutdated(write.era, now) || window === undefined) {
			return;
		}

		if (write.kind === 'conflict') {
			if (write.row === undefined) {
				// The row was removed since, as happens only to old ones.
				window.version = 0;
				window.isMarked = true;
			} else {
				this._takeRow(step.window, write.row, now);
			}

			return;
		}

		window.version = write.version;
		if (window.phase === 'deciding' || window.phase === 'told') {
			window.phase = 'decided';
			window.mustRead = false;
			this._options.onDecided({window: step.window, counts: window.counts!});
		} else if (window.phase === 'acknowledged') {
			window.isMarked = true;
		}
	}

	onRemoved(no: number, now: number): void {
		const window = this._windows.get(no);
		if (window?.phase === 'decided') {
			this._leave(window, 'tooOld', now);
		}

		this._windows.delete(no);
	}

	/** Notes a step without an answer. A write may have been applied, or may still be. */
	onStoreFailed(step: StoreStep, now: number): void {
		this._storeRetryAt = now + usageStoreRetryMs;
		if (step.kind === 'write') {
			const window = this._windows.get(step.window);
			if (window !== undefined) {
				window.mustRead = true;
			}
		}
	}

	/** The next report to send; undefined if none is due. */
	nextReport(now: number): DueReport | undefined {
		if (!this._isHeld || this._mustReadAll) {
			return undefined;
		}

		const due = [...this._windows.values()]
			.filter(
				({phase, version, nextSendAt}) =>
					phase === 'decided' && version > 0 && nextSendAt <= now,
			)
			.toSorted((a, b) => a.window - b.window)[0];
		return due && {window: due.window, counts: due.counts!};
	}

	onSent(no: number, outcome: DutyOutcome, now: number): void {
		const window = this._windows.get(no);
		if (window?.phase !== 'decided') {
			return;
		}

		if (outcome === 'notSent') {
			window.nextSendAt = now + heldRetryMs;
			return;
		}

		window.attempts++;
		if (outcome === 'accepted') {
			const afterMs = now - endOf(no, this._windowMs);
			window.phase = 'acknowledged';
			window.acknowledgedAt = now;
			this._end(
				window,
				afterMs > this._options.times.lateMs ? 'late' : 'reported',
				now,
			);
		} else {
			window.nextSendAt = now + window.backoffMs;
			window.backoffMs = Math.min(reportBackoffMs.max, 2 * window.backoffMs);
		}
	}

	/** Whether an answer is of an earlier era than the newest one that this entry knows. */
	private _isOutdated(era: number, now: number): boolean {
		this.noteEra(era, now);
		if (era < this._era!) {
			this._storeRetryAt = now + usageStoreRetryMs;
			return true;
		}

		return false;
	}

	private get _windowMs(): number {
		return this._options.times.windowMs;
	}

	/** Windows that have ended and that this entry has to see to, oldest first. */
	private _candidates(now: number): readonly number[] {
		const current = windowOf(now, this._windowMs);
		const oldest = current - maxOpenWindows;
		const first = Math.max(
			oldest,
			Math.min(
				current,
				...this._options.contributed(),
				...this._windows.keys(),
			),
		);
		return Array.from(
			{length: Math.max(0, current - first)},
			(_, i) => first + i,
		);
	}

	private _stepOf(no: number, now: number): StoreStep | undefined {
		const window = this._windowAt(no, now);
		if (window === undefined || window.phase === 'left') {
			return undefined;
		}

		switch (window.phase) {
			case 'open': {
				if (!this._isDue(no, now)) {
					return undefined;
				}

				return {kind: 'read', window: no};
			}

			case 'deciding':
			case 'told': {
				return window.mustRead
					? {kind: 'read', window: no}
					: this._write(window, 0);
			}

			case 'decided': {
				// The store may have lost the row.
				return window.version === 0 ? this._write(window, 0) : undefined;
			}

			case 'acknowledged': {
				if (window.isMarked || window.markAttempts >= maxMarkAttempts) {
					return undefined;
				}

				window.markAttempts++;
				return this._write(window, window.version);
			}
		}
	}

	private _write(
		{window, counts, acknowledgedAt}: Window,
		expected: number,
	): StoreStep {
		return {
			kind: 'write',
			window,
			text: encodeUsageRow({
				window,
				counts: counts!,
				...(acknowledgedAt !== undefined && {acknowledgedAt}),
			}),
			expected,
		};
	}

	/** Whether the contributions for a window are there, or have been awaited long enough. */
	private _isDue(no: number, now: number): boolean {
		const waitMs = this._options.times.lateMs * maxContributionWaitShare;
		const dueAt = endOf(no, this._windowMs) + waitMs;
		// Entries send a new holder what it lacks once they know it, also counts of processes that have ended.
		return (
			now >= this._heldSince + takeoverWaitMs &&
			(now >= dueAt || this._options.missing(no) === 0)
		);
	}

	private _beginDecision(window: Window, now: number): void {
		const endedAt = endOf(window.window, this._windowMs);
		const hasHeldThroughout = this._heldSince <= endedAt - this._windowMs;
		if (endedAt <= this._eraNotedAt && !hasHeldThroughout) {
			this._leave(window, 'decisionMayBeLost', now);
			return;
		}

		const status = this._options.status(window.window);
		if (status.processes === 0) {
			this._leave(window, 'noContributions', now);
			return;
		}

		window.phase = 'deciding';
		window.status = status;
		window.counts = status.counts;
	}

	/** Takes the row of a window as it stands. */
	private _takeRow(no: number, {value, version}: KeyedRow, now: number): void {
		const window = this._windowAt(no, now) ?? this._addWindow(no, now);
		const row = decodeUsageRow(value);
		if (window.isBarred) {
			return;
		}

		const isKnown =
			window.phase === 'told' ||
			window.phase === 'decided' ||
			window.phase === 'acknowledged';
		const isSame =
			row !== undefined &&
			JSON.stringify(window.counts) === JSON.stringify(row.counts);
		if (row === undefined || (isKnown && !isSame)) {
			// One of the two may have been accepted, so neither is sent.
			window.version = version;
			window.isBarred = true;
			this._leave(window, 'decisionsDiffer', now);
			return;
		}

		if (!isSame) {
			window.status = undefined;
		}

		window.counts = row.counts;
		window.version = version;
		window.mustRead = false;
		if (row.acknowledgedAt !== undefined) {
			window.isMarked = true;
			window.acknowledgedAt = row.acknowledgedAt;
			window.phase = 'acknowledged';
		} else if (window.phase !== 'acknowledged') {
			window.phase = 'decided';
		}

		if (!isKnown && window.phase === 'decided') {
			this._options.onDecided({window: no, counts: row.counts});
		}
	}

	/** Undefined for a window that is too old, or has not begun. */
	private _windowAt(no: number, now: number): Window | undefined {
		const current = windowOf(now, this._windowMs);
		const isInTime =
			Number.isSafeInteger(no) &&
			no >= current - maxOpenWindows &&
			no <= current;
		return (
			this._windows.get(no) ?? (isInTime ? this._addWindow(no, now) : undefined)
		);
	}

	private _addWindow(no: number, now: number): Window {
		const window: Window = {
			window: no,
			phase: 'open',
			counts: undefined,
			status: undefined,
			version: 0,
			mustRead: true,
			acknowledgedAt: undefined,
			isMarked: false,
			isBarred: false,
			markAttempts: 0,
			attempts: 0,
			backoffMs: reportBackoffMs.initial,
			nextSendAt: now,
		};
		this._windows.set(no, window);
		return window;
	}

	/** Gives up windows that are too old to be decided or sent. Forgets those without a row. */
	private _leaveOld(now: number): void {
		const oldest = windowOf(now, this._windowMs) - maxOpenWindows;
		for (const [no, window] of this._windows) {
			if (no >= oldest) {
				continue;
			}

			const isWithoutRow = window.version === 0;
			if (
				this._isHeld &&
				isWithoutRow &&
				window.phase !== 'acknowledged' &&
				window.phase !== 'left'
			) {
				this._leave(window, 'tooOld', now);
			}

			if (isWithoutRow || !this._isHeld) {
				this._windows.delete(no);
			}
		}
	}

	/** Rows beyond those that are kept, acknowledged ones first. */
	private _removal(now: number): StoreStep | undefined {
		const rows = [...this._windows.values()].filter(({version}) => version > 0);
		if (rows.length <= maxUsageRows) {
			return undefined;
		}

		// The row of a window that could still be decided must stay.
		const oldest = windowOf(now, this._windowMs) - maxOpenWindows;
		const [first] = rows
			.filter(({window}) => window < oldest)
			.toSorted(
				(a, b) =>
					Number(b.phase === 'acknowledged') -
						Number(a.phase === 'acknowledged') || a.window - b.window,
			);
		return first && {kind: 'remove', window: first.window};
	}

	private _leave(window: Window, outcome: WindowOutcome, now: number): void {
		window.phase = 'left';
		this._end(window, outcome, now);
	}

	private _end(window: Window, outcome: WindowOutcome, now: number): void {
		this._options.onEnded({
			window: window.window,
			outcome,
			counts: window.counts,
			status: window.status,
			attempts: window.attempts,
			afterMs: now - endOf(window.window, this._windowMs),
		});
	}
}
