import {
	countingLagMarginMs,
	countingLagMemoryMs,
	initialCountingLagShare,
	maxCountingLagShare,
	maxOpenWindows,
} from './constants.js';
import type {OwnWindow, UsageCounts, UsageTimes} from './types.js';
import {endOf, sortedCounts, windowOf} from './usage-window.js';

type Window = {
	readonly counts: Map<string, number>;
	total: number;
	/** Copy of the counts; undefined if they have changed since. */
	sorted: UsageCounts | undefined;
};

/**
 * Counts the requests of one process by customer and window. All times are true time, in milliseconds since the epoch. A
 * count may come after the end of its window, as the response tells of the begin; the longest such lag of late decides how
 * long a window that has ended stays open.
 */
export class UsageCounter {
	static create(times: UsageTimes, now: number): UsageCounter {
		return new UsageCounter(times, now);
	}

	private _since: number;
	private readonly _windows = new Map<number, Window>();
	/** Longest lags of the last two spans of `countingLagMemoryMs`. */
	private _lagMs: {current: number; previous: number; since: number};

	private constructor(
		private readonly _times: UsageTimes,
		now: number,
	) {
		this._since = windowOf(now, _times.windowMs);
		const lagMs = _times.lateMs * initialCountingLagShare;
		this._lagMs = {current: lagMs, previous: 0, since: now};
		this._update(now);
	}

	/** The first window that this process has to tell about. It may fall while true time is not known well. */
	get since(): number {
		return this._since;
	}

	/** Counts a request that began to run at `beganAt`. */
	count(customer: string, beganAt: number, now: number): void {
		this._update(now);
		const {windowMs} = this._times;
		const begin = Math.min(now, beganAt);
		const lagMs = now - begin;
		this._lagMs.current = Math.max(this._lagMs.current, lagMs);
		const oldest = windowOf(now, windowMs) - maxOpenWindows;
		const window = this._windowAt(
			Math.max(oldest, this._since, windowOf(begin, windowMs)),
		);
		window.counts.set(customer, (window.counts.get(customer) ?? 0) + 1);
		window.total++;
		window.sorted = undefined;
	}

	/** The windows after `decidedTo`, oldest first. */
	windows(decidedTo: number, now: number): readonly OwnWindow[] {
		this._update(now);
		const lagMs = this._closingLagMs;
		return [...this._windows]
			.filter(([window]) => window > decidedTo)
			.toSorted(([a], [b]) => a - b)
			.map(([no, window]) => {
				window.sorted ??= sortedCounts(window.counts);
				return {
					window: no,
					counts: window.sorted,
					total: window.total,
					isClosed: now >= endOf(no, this._times.windowMs) + lagMs,
				};
			});
	}

	/** Time from the end of a window until this process expects no more counts for it, in milliseconds. */
	private get _closingLagMs(): number {
		const {current, previous} = this._lagMs;
		return Math.min(
			this._times.lateMs * maxCountingLagShare,
			Math.max(current, previous) + countingLagMarginMs,
		);
	}

	private _update(now: number): void {
		const current = windowOf(now, this._times.windowMs);
		this._since = Math.min(this._since, current);
		// A window without requests has to be told too.
		for (
			let no = current;
			no >= this._since &&
			no >= current - maxOpenWindows &&
			!this._windows.has(no);
			no--
		) {
			this._windowAt(no);
		}

		for (const no of this._windows.keys()) {
			if (no < current - maxOpenWindows) {
				this._windows.delete(no);
			}
		}

		if (now - this._lagMs.since > countingLagMemoryMs) {
			this._lagMs = {current: 0, previous: this._lagMs.current, since: now};
		}
	}

	private _windowAt(no: number): Window {
		const window = this._windows.get(no) ?? {
			counts: new Map<string, number>(),
			total: 0,
			sorted: undefined,
		};
		this._windows.set(no, window);
		return window;
	}
}
