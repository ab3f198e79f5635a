import type {CustomerRule} from '../authority/types.js';
import {minLimitPerSecond, toleratedLostShare} from './constants.js';
import {isServerLimit} from './server-limit-rules.js';

/** Another entry, as the owner of a rate sees it. */
export type RateSharer = {
	readonly zone: string;
	/** Whether heartbeats of the entry are expected, so that its loss would be noticed. */
	readonly isWatched: boolean;
	/** Time since it was lost, in milliseconds; undefined if it is not. */
	readonly lostForMs: number | undefined;
};

/** Which share of the entries an entry can reach, itself included. */
export type Reach = {
	/** Of all known entries. */
	readonly share: number;
	/** Of those that may still serve. */
	readonly shareOfServing: number;
};

export const wholeReach: Reach = {share: 1, shareOfServing: 1};

/**
 * @param others all other known entries
 * @param maxCutServingMs time for which an entry that is cut from the store and its peers may go on serving, in milliseconds
 */
export function reachOf(
	others: readonly RateSharer[],
	maxCutServingMs: number,
): Reach {
	const serving = others.filter(
		({lostForMs = 0}) => lostForMs <= maxCutServingMs,
	);
	return {
		share: reachedShare(others),
		shareOfServing: reachedShare(serving),
	};
}

/**
 * Part of a rate that its owner may grant. Entries that it has lost may be cut off and have another owner, so it grants the
 * share of those that it can reach.
 *
 * A customer's rate allows for some overage, so few lost entries change nothing. Entries that have been lost for long serve no
 * more, whether they were cut off or have ended, unless they are the majority.
 */
export function grantablePart(
	rule: CustomerRule,
	{share, shareOfServing}: Reach,
): CustomerRule {
	if (isServerLimit(rule.name)) {
		if (share === 1) {
			return rule;
		}

		const rate = Math.max(minLimitPerSecond, rule.unitsPerSecond * share);
		return {...rule, unitsPerSecond: rate, burstUnits: Math.max(1, rate)};
	}

	const part = share > 0.5 ? shareOfServing : share;
	return 1 - part <= toleratedLostShare
		? rule
		: {
				...rule,
				unitsPerSecond: rule.unitsPerSecond * part,
				burstUnits: rule.burstUnits * part,
			};
}

/** Share of the entries that can be reached, this one included. A zone counts as lost if all its watched entries are. */
function reachedShare(others: readonly RateSharer[]): number {
	const zones = new Map<string, {isWatched: boolean; isReached: boolean}>();
	for (const {zone, isWatched, lostForMs} of others) {
		const known = zones.get(zone);
		const isLost = lostForMs !== undefined;
		zones.set(zone, {
			isWatched: known?.isWatched === true || isWatched || isLost,
			isReached: known?.isReached === true || (isWatched && !isLost),
		});
	}

	const reached = others.filter(({zone, lostForMs}) => {
		const {isWatched, isReached} = zones.get(zone)!;
		return lostForMs === undefined && (isReached || !isWatched);
	});
	return (reached.length + 1) / (others.length + 1);
}
