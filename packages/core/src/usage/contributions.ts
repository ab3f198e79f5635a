import {maxOpenWindows} from './constants.js';
import type {Contribution, UsageCounts} from './types.js';
import {isCounts, sortedCounts} from './usage-window.js';

/** What is known of one window. */
export type WindowStatus = {
	readonly counts: UsageCounts;
	/** Number of processes that contributed. */
	readonly processes: number;
	/** Number of known entries that have not told all their counts. */
	readonly missing: number;
	/** Time at which the process was last heard whose contribution is the oldest. */
	readonly oldestAt: number | undefined;
};

type Tally = {
	readonly counts: Map<string, number>;
	/** Sum of all counts of the process, once it expects no more. */
	closedTotal: number | undefined;
	total: number;
	heardAt: number;
};

type Process = {
	readonly host: string;
	readonly born: number;
	readonly since: number;
	readonly windows: Map<number, Tally>;
	/** Time at which it was last heard itself. */
	heardAt: number;
};

/**
 * Collects the contributions of all entries. They are cumulative for each process, so late, repeated and reordered ones count
 * once: the largest number of each customer stays.
 */
export class Contributions {
	static create(): Contributions {
		return new Contributions();
	}

	private readonly _processes = new Map<string, Process>();
	private readonly _windows = new Set<number>();
	private _current = 0;

	private constructor() {}

	/** Numbers of the windows for which some process has counted, or said that it has not. */
	get windows(): ReadonlySet<number> {
		return this._windows;
	}

	/**
	 * Adds a contribution. Returns the totals of its ended windows of which all counts are there.
	 *
	 * @param current number of the running window
	 */
	merge(
		{host, born, since, windows, isRelayed}: Contribution,
		current: number,
		now: number,
	): ReadonlyArray<readonly [window: number, total: number]> {
		const key = `${host}/${born}`;
		const process = this._processes.get(key) ?? {
			host,
			born,
			since,
			windows: new Map<number, Tally>(),
			heardAt: Number.NEGATIVE_INFINITY,
		};
		this._processes.set(key, process);
		if (isRelayed !== true) {
			process.heardAt = now;
		}

		const complete: Array<readonly [number, number]> = [];
		for (const {window, counts, closedTotal} of windows) {
			if (!isKept(window, current) || !isCounts(counts)) {
				continue;
			}

			const tally = process.windows.get(window) ?? {
				counts: new Map<string, number>(),
				closedTotal: undefined,
				total: 0,
				heardAt: now,
			};
			process.windows.set(window, tally);
			this._windows.add(window);
			tally.heardAt = now;
			for (const [customer, count] of Object.entries(counts)) {
				const more = count - (tally.counts.get(customer) ?? 0);
				if (more > 0) {
					tally.counts.set(customer, count);
					tally.total += more;
				}
			}

			if (closedTotal !== undefined) {
				tally.closedTotal = Math.max(tally.closedTotal ?? 0, closedTotal);
			}

			if (isComplete(tally)) {
				complete.push([window, tally.total]);
			}
		}

		this._removeOld(current);
		return complete;
	}

	/**
	 * Number of hosts that have not told all their counts for a window. Only the last process of a host still counts, and it
	 * has nothing to tell about windows before its start.
	 */
	missing(window: number, hosts: readonly string[]): number {
		const last = this._lastProcesses();
		return hosts.filter(host => {
			const process = last.get(host);
			return (
				process === undefined ||
				(process.since <= window && !isComplete(process.windows.get(window)))
			);
		}).length;
	}

	/** Counts of processes that have ended, as their hosts have newer ones, for the windows after `decidedTo`. */
	ofEnded(decidedTo: number): readonly Contribution[] {
		const last = this._lastProcesses();
		return [...this._processes.values()]
			.filter(process => last.get(process.host) !== process)
			.map(({host, born, since, windows}) => ({
				host,
				born,
				since,
				windows: [...windows]
					.filter(([window]) => window > decidedTo)
					.map(([window, {counts, total}]) => ({
						window,
						counts: Object.fromEntries(counts),
						closedTotal: total,
					})),
				isRelayed: true,
			}))
			.filter(({windows}) => windows.length > 0);
	}

	/** @param hosts the known entries */
	status(window: number, hosts: readonly string[]): WindowStatus {
		const counts = new Map<string, number>();
		let processes = 0;
		let oldestAt: number | undefined;
		for (const {windows} of this._processes.values()) {
			const tally = windows.get(window);
			if (tally !== undefined) {
				processes++;
				oldestAt = Math.min(oldestAt ?? tally.heardAt, tally.heardAt);
				for (const [customer, count] of tally.counts) {
					counts.set(customer, (counts.get(customer) ?? 0) + count);
				}
			}
		}

		return {
			counts: sortedCounts(counts),
			processes,
			missing: this.missing(window, hosts),
			oldestAt,
		};
	}

	/** The process of each host that was heard last. */
	private _lastProcesses(): ReadonlyMap<string, Process> {
		const last = new Map<string, Process>();
		for (const process of this._processes.values()) {
			if (
				process.heardAt >
				(last.get(process.host)?.heardAt ?? Number.NEGATIVE_INFINITY)
			) {
				last.set(process.host, process);
			}
		}

		return last;
	}

	private _removeOld(current: number): void {
		if (current <= this._current) {
			return;
		}

		this._current = current;
		for (const window of this._windows) {
			if (!isKept(window, current)) {
				this._windows.delete(window);
			}
		}

		for (const [key, {windows}] of this._processes) {
			for (const window of windows.keys()) {
				if (!isKept(window, current)) {
					windows.delete(window);
				}
			}

			if (windows.size === 0) {
				this._processes.delete(key);
			}
		}
	}
}

/** Windows of the future come from clocks that are far off. */
function isKept(window: number, current: number): boolean {
	return (
		Number.isSafeInteger(window) &&
		window >= current - maxOpenWindows &&
		window <= current + 1
	);
}

function isComplete(tally: Tally | undefined): boolean {
	return tally?.closedTotal !== undefined && tally.total >= tally.closedTotal;
}
