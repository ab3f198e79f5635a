import {hashString, rendezvousScore} from '../common/rendezvous.js';
import type {AgentHost} from '../membership/types.js';
import type {DirectoryEntry} from './server-directory.js';

type Scored = {readonly entry: DirectoryEntry; readonly score: number};

/** Returns the `count` members with the highest rendezvous scores for the key, best first. */
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
 * Reorders servers round-robin across zones, so that adjacent servers are in different zones if possible.
 * The order within a zone is unchanged.
 */
export function interleaveZones(
	servers: readonly AgentHost[],
): readonly AgentHost[] {
	const nextRounds = new Map<string, number>();
	const rounds = servers.map((host, rank) => {
		const round = nextRounds.get(host.zone) ?? 0;
		nextRounds.set(host.zone, round + 1);
		return {host, rank, round};
	});
	return rounds
		.toSorted((a, b) => a.round - b.round || a.rank - b.rank)
		.map(({host}) => host);
}

function insertSorted(top: Scored[], scored: Scored): void {
	let index = top.length;
	while (index > 0 && isBefore(scored, top[index - 1]!)) {
		index--;
	}

	top.splice(index, 0, scored);
}

function isBefore(a: Scored, b: Scored): boolean {
	return (
		a.score > b.score ||
		(a.score === b.score && a.entry.host.id < b.entry.host.id)
	);
}
