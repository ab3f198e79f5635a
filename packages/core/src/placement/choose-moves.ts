import {departureCheckMs, moveMarginMs} from './constants.js';

/** A request that could move away from a server that is taken away. */
export type MovableRequest = {
	/** Time until its server may be gone, in milliseconds. */
	readonly leftMs: number;
	/** Time until it is expected to end there, in milliseconds; infinite if unknown. */
	readonly expectedMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time, in milliseconds. */
	readonly deadlineAt: number;
};

/**
 * Returns the requests that have to move now, most urgent first. Those that are expected to end in time stay. The others
 * move as late as possible, since they may end before, but at intervals, since each costs the prefill of its prompt and of
 * what was generated at a server that then takes the load of those that go. If the time is short, the intervals are.
 *
 * @param spacingMs interval of the moves, in milliseconds
 */
export function chooseMoves<T extends MovableRequest>(
	requests: readonly T[],
	spacingMs: number,
): readonly T[] {
	const late = requests
		.filter(({expectedMs, leftMs}) => expectedMs > leftMs - moveMarginMs)
		.toSorted(
			(a, b) =>
				bucketOf(a) - bucketOf(b) ||
				a.priority - b.priority ||
				a.deadlineAt - b.deadlineAt,
		);
	const usableMs = late.map(({leftMs}) => leftMs - moveMarginMs);
	const intervalMs = Math.min(
		spacingMs,
		...usableMs.map((ms, i) => Math.max(0, ms) / (i + 1)),
	);
	let latestMs = Number.POSITIVE_INFINITY;
	let dueCount = 0;
	for (let i = late.length - 1; i >= 0; i--) {
		latestMs = Math.min(usableMs[i]!, latestMs - intervalMs);
		if (latestMs <= departureCheckMs && dueCount === 0) {
			dueCount = i + 1;
		}
	}

	return late.slice(0, dueCount);
}

/** Servers whose times differ by less than a few checks are left in the order of their requests' urgency. */
function bucketOf({leftMs}: MovableRequest): number {
	return Math.ceil(Math.max(0, leftMs) / moveMarginMs);
}
