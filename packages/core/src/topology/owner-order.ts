import {hashString, rendezvousScore} from '../common/rendezvous.js';
import {maxMutualEntries, ownerCandidates} from './constants.js';
import type {Member} from './types.js';

type Candidate = {readonly id: string; readonly zone: string};

type HashedMember = Candidate & {readonly hash: number};

type ScoredMember = Candidate & {readonly score: number};

/**
 * Order in which entries own customers' rates. The first candidates are in different zones as far as there are zones, so
 * that the loss of a zone leaves an entry that knows the customer's level.
 */
export class OwnerOrder {
	static create(members: readonly Member[]): OwnerOrder {
		return new OwnerOrder(members);
	}

	private readonly _hashed: readonly HashedMember[];
	private readonly _byZone: ReadonlyMap<string, readonly HashedMember[]>;
	private readonly _byCustomer = new Map<string, readonly string[]>();

	private constructor(members: readonly Member[]) {
		this._hashed = members.map(({id, zone}) => ({
			id,
			zone,
			hash: hashString(id),
		}));
		const byZone = new Map<string, HashedMember[]>();
		for (const member of this._hashed) {
			const zone = byZone.get(member.zone) ?? [];
			byZone.set(member.zone, zone);
			zone.push(member);
		}

		this._byZone = byZone;
	}

	/** The first entries in the order for a key, such as a stream, that is too short-lived to keep its order. */
	first(key: string, count: number): readonly string[] {
		const keyHash = hashString(key);
		const best = [...this._byZone.values()].flatMap(zone =>
			bestOf(zone, keyHash, count),
		);
		return pickAcrossZones(best.toSorted(byScore), count);
	}

	/** Candidates for the customer's rate, the owner first. */
	candidates(customer: string): readonly string[] {
		const known = this._byCustomer.get(customer);
		if (known !== undefined) {
			return known;
		}

		const keyHash = hashString(customer);
		const ordered = this._hashed
			.map(({id, zone, hash}) => ({
				id,
				zone,
				score: rendezvousScore(keyHash, hash),
			}))
			.toSorted(byScore);
		const count =
			ordered.length > maxMutualEntries ? ownerCandidates : ordered.length;
		const candidates = pickAcrossZones(ordered, count);
		this._byCustomer.set(customer, candidates);
		return candidates;
	}
}

function byScore(a: ScoredMember, b: ScoredMember): number {
	return b.score - a.score || (a.id < b.id ? -1 : 1);
}

/** Returns the `count` members with the highest scores, in linear time for a small count. */
function bestOf(
	members: readonly HashedMember[],
	keyHash: number,
	count: number,
): readonly ScoredMember[] {
	const best: ScoredMember[] = [];
	for (const {id, zone, hash} of members) {
		const member = {id, zone, score: rendezvousScore(keyHash, hash)};
		const worst = best.at(-1);
		if (worst !== undefined && best.length >= count) {
			if (byScore(member, worst) > 0) {
				continue;
			}

			best.pop();
		}

		const at = best.findIndex(other => byScore(member, other) < 0);
		best.splice(at === -1 ? best.length : at, 0, member);
	}

	return best;
}

/** Picks the best candidates, one from each zone before a second one from any. */
function pickAcrossZones(
	ordered: readonly Candidate[],
	count: number,
): readonly string[] {
	const picked: string[] = [];
	let rest = ordered;
	while (picked.length < count && rest.length > 0) {
		const zones = new Set<string>();
		const left: Candidate[] = [];
		for (const candidate of rest) {
			if (zones.has(candidate.zone) || picked.length >= count) {
				left.push(candidate);
			} else {
				zones.add(candidate.zone);
				picked.push(candidate.id);
			}
		}

		rest = left;
	}

	return picked;
}
