import {
	maxContributionsPerSecond,
	maxCountsPerDatagram,
	minContributionIntervalMs,
} from './constants.js';
import type {
	ContributionAck,
	KnownHolder,
	OwnWindow,
	WindowCounts,
} from './types.js';

/** Windows to send to a collector in one datagram. */
export type DueContribution = {
	readonly target: string;
	readonly windows: readonly WindowCounts[];
};

type Sending = {
	readonly entryCount: number;
	readonly holder: KnownHolder | undefined;
};

type Target = {
	/** Token under which the collector holds the duty, and the start of its process, as far as they are known. */
	token: number | undefined;
	born: number | undefined;
	sentAt: number;
	/** Number of datagrams of the last time. */
	datagrams: number;
	/** Totals of the windows as last sent. */
	readonly sent: Map<number, number>;
	/** Totals of the ended windows that the collector has acknowledged. */
	readonly acknowledged: Map<number, number>;
};

/**
 * Decides when an entry sends its counts to the collectors. Counts of a running window are sent when they have changed, those
 * of an ended window until the collector has acknowledged them.
 */
export class ContributionSender {
	static create(): ContributionSender {
		return new ContributionSender();
	}

	private readonly _targets = new Map<string, Target>();
	/** Windows up to this one are decided. */
	private _decidedTo = Number.NEGATIVE_INFINITY;

	private constructor() {}

	/** Windows up to this one are decided and need not be sent. */
	get decidedTo(): number {
		return this._decidedTo;
	}

	/**
	 * Returns the datagrams that are due.
	 *
	 * @param targets the collectors; others are forgotten
	 * @param sending how many entries send to the same collectors, and the holder of the duty if it is known: one with a new
	 *   token may be a new process of its host
	 * @param now monotonic time in milliseconds
	 */
	due(
		targets: readonly string[],
		windows: readonly OwnWindow[],
		sending: Sending,
		now: number,
	): readonly DueContribution[] {
		for (const id of this._targets.keys()) {
			if (!targets.includes(id)) {
				this._targets.delete(id);
			}
		}

		return targets.flatMap(id => this._dueTo(id, windows, sending, now));
	}

	/** Notes that a collector has the totals of ended windows. */
	onAcknowledged({from, fromBorn, totals, decidedTo}: ContributionAck): void {
		const target = this._targets.get(from);
		if (target !== undefined) {
			if (target.born !== undefined && target.born !== fromBorn) {
				reset(target);
			}

			target.born = fromBorn;
			for (const [window, total] of totals) {
				target.acknowledged.set(window, total);
			}
		}

		this._decidedTo = Math.max(
			this._decidedTo,
			decidedTo ?? Number.NEGATIVE_INFINITY,
		);
	}

	private _dueTo(
		id: string,
		windows: readonly OwnWindow[],
		{entryCount, holder}: Sending,
		now: number,
	): readonly DueContribution[] {
		const target: Target = this._targets.get(id) ?? {
			token: undefined,
			born: undefined,
			sentAt: Number.NEGATIVE_INFINITY,
			datagrams: 1,
			sent: new Map<number, number>(),
			acknowledged: new Map<number, number>(),
		};
		this._targets.set(id, target);
		if (holder?.host === id && holder.token !== target.token) {
			target.token = holder.token;
			reset(target);
		}

		const intervalMs = contributionIntervalMs(entryCount) * target.datagrams;
		if (now - target.sentAt < intervalMs) {
			return [];
		}

		const changed = windows.filter(({window, total, isClosed}) =>
			isClosed
				? target.acknowledged.get(window) !== total
				: // The first one tells of the process, and that earlier ones of its host have ended.
					target.sent.get(window) !== total,
		);
		if (changed.length === 0) {
			return [];
		}

		const datagrams = splitWindows(changed);
		target.sentAt = now;
		target.datagrams = datagrams.length;
		for (const {window, total} of changed) {
			target.sent.set(window, total);
		}

		const oldest = windows[0]?.window ?? 0;
		for (const totals of [target.sent, target.acknowledged]) {
			for (const window of totals.keys()) {
				if (window < oldest) {
					totals.delete(window);
				}
			}
		}

		return datagrams.map(part => ({target: id, windows: part}));
	}
}

/** Forgets what a collector has, as its process may be a new one. */
function reset(target: Target): void {
	target.sent.clear();
	target.acknowledged.clear();
}

/** Time between two contributions of an entry to a collector, in milliseconds. */
export function contributionIntervalMs(entryCount: number): number {
	return Math.max(
		minContributionIntervalMs,
		(entryCount * 1000) / maxContributionsPerSecond,
	);
}

/** Splits counts so that each part fits into a datagram. */
function splitWindows(
	windows: readonly OwnWindow[],
): ReadonlyArray<readonly WindowCounts[]> {
	const parts: WindowCounts[][] = [];
	let room = 0;
	for (const {window, counts, total, isClosed} of windows) {
		let rest = Object.entries(counts);
		do {
			if (room <= 0) {
				parts.push([]);
				room = maxCountsPerDatagram;
			}

			const some = rest.slice(0, room);
			rest = rest.slice(room);
			// A window without counts takes room too.
			room -= some.length + 1;
			parts.at(-1)!.push({
				window,
				counts: Object.fromEntries(some),
				...(isClosed && {closedTotal: total}),
			});
		} while (rest.length > 0);
	}

	return parts;
}
