import type {CustomerRule} from '../authority/types.js';
import {minLimitPerSecond} from './constants.js';

/** Another entry, as the owner of a limit sees it. */
export type LimitSharer = {
	readonly zone: string;
	/** Whether heartbeats of the entry are expected, so that its loss would be noticed. */
	readonly isWatched: boolean;
	readonly isLost: boolean;
};

/**
 * Share of a server's limit that the owner of the limit may grant. Entries that it has lost may be cut off and have another
 * owner, so it grants as much as the other entries have a part in. A zone counts as lost if all its watched entries are.
 *
 * @param others all other known entries
 */
export function limitShare(others: readonly LimitSharer[]): number {
	const zones = new Map<string, {isWatched: boolean; isReached: boolean}>();
	for (const {zone, isWatched, isLost} of others) {
		const known = zones.get(zone);
		zones.set(zone, {
			isWatched: known?.isWatched === true || isWatched || isLost,
			isReached: known?.isReached === true || (isWatched && !isLost),
		});
	}

	const reached = others.filter(({zone, isLost}) => {
		const {isWatched, isReached} = zones.get(zone)!;
		return !isLost && (isReached || !isWatched);
	});
	return (reached.length + 1) / (others.length + 1);
}

/** Part of a rule that stands for a server's limit. */
export function shareOfLimit(rule: CustomerRule, share: number): CustomerRule {
	const rate = Math.max(minLimitPerSecond, rule.unitsPerSecond * share);
	return {...rule, unitsPerSecond: rate, burstUnits: Math.max(1, rate)};
}
