import {
	hashString,
	rendezvousScore,
	topByRendezvous,
} from '../common/rendezvous.js';
import {leaseWatchers, takeLastMs, takeStepMs} from './constants.js';

/** What decides an entry's place among those that may take a duty's lease. */
export type DutyStanding = {
	readonly host: string;
	/** Known entries that are not lost, this one included. */
	readonly entries: readonly string[];
	/** Whether this entry reads the store for its zone. */
	readonly isRoot: boolean;
	/** Whether this entry lets all others go first. */
	readonly isLast: boolean;
};

/** Entry's place among those that may take a lease. */
export type DutyPlace = {
	/** Whether the entry watches the row. */
	readonly isWatching: boolean;
	/** Time after which it tries to take a free lease, in milliseconds. */
	readonly takeDelayMs: number;
};

/** Returns the entries in the order in which they take over a duty. */
export function dutyOrder(
	duty: string,
	entries: readonly string[],
): readonly string[] {
	return topByRendezvous(keyOf(duty), entries, entries.length);
}

/** Returns an entry's place. `holder` is the holder that it has seen in the row, which does not take over from itself. */
export function dutyPlace(
	duty: string,
	{host, entries, isRoot, isLast}: DutyStanding,
	holder: string | undefined,
): DutyPlace {
	const dutyHash = hashString(keyOf(duty));
	const scoreOf = (entry: string) =>
		rendezvousScore(dutyHash, hashString(entry));
	const ownScore = scoreOf(host);
	// Counted, as there may be thousands of entries, and few of them matter.
	const before = entries.filter(entry => {
		const score = scoreOf(entry);
		return score > ownScore || (score === ownScore && entry < host);
	});
	const isWatching = isRoot || before.length < leaseWatchers;
	const rank = before.filter(entry => entry !== holder).length;
	return {
		isWatching,
		takeDelayMs: isLast
			? takeLastMs
			: Math.min(rank, leaseWatchers + 1) * takeStepMs,
	};
}

function keyOf(duty: string): string {
	return `duty ${duty}`;
}
