import {hashString, rendezvousScore} from '../common/rendezvous.js';
import type {AgentHost} from '../membership/types.js';
import type {DirectoryEntry} from './server-directory.js';

type Scored = {readonly entry: DirectoryEntry; readonly score: number};

/** Returns the members with the highest rendezvous scores for the key, best first, in one pass. */
export function topServers(
	key: string,
	members: readonly DirectoryEntry[],
	count: number,
): readonly AgentHost[] {
	const keyHash = hashString(key);
	const top: Scored[] = [];
	for (const entry of members) {
		const scored = {entry, score: rendezvousScore(keyHash, entry.hash)};
		const last = top.at(-1);
		if (top.length < count || (last !== undefined && isBefore(scored, last))) {
			insertSorted(top, scored);
			if (top.length > count) {
				top.pop();
			}
		}
	}

	return top.map(({entry}) => entry.host);
}

/**
 * Reorders servers so that each place goes to the zone that has had the fewest places before it.
 * The order within a zone stays, so that a neighbour in the order is in another zone where there is one.
 */
export function alternateZones(
	servers: readonly AgentHost[],
): readonly AgentHost[] {
	const places = new Map<string, number>();
	const rounds = servers.map((host, rank) => {
		const round = places.get(host.zone) ?? 0;
		places.set(host.zone, round + 1);
		return {host, rank, round};
	});
	return rounds
		.toSorted((a, b) => a.round - b.round || a.rank - b.rank)
		.map(({host}) => host);
}

function insertSorted(top: Scored[], scored: Scored): void {
	let place = top.length;
	while (place > 0 && isBefore(scored, top[place - 1]!)) {
		place--;
	}

	top.splice(place, 0, scored);
}

function isBefore(a: Scored, b: Scored): boolean {
	return (
		a.score > b.score ||
		(a.score === b.score && a.entry.host.id < b.entry.host.id)
	);
}
