import {hashString, rendezvousScore} from '../common/rendezvous.js';
import {maxMutualEntries, ownerCandidates} from './constants.js';
import type {Member} from './types.js';

type Candidate = {readonly id: string; readonly zone: string};

/**
 * Order in which entries own customers' rates. The first candidates are in different zones as far as there are zones, so
 * that the loss of a zone leaves an entry that knows the customer's level.
 */
export class OwnerOrder {
	static create(members: readonly Member[]): OwnerOrder {
		return new OwnerOrder(members);
	}

	private readonly _hashed: ReadonlyArray<Candidate & {readonly hash: number}>;
	private readonly _byCustomer = new Map<string, readonly string[]>();

	private constructor(members: readonly Member[]) {
		this._hashed = members.map(({id, zone}) => ({
			id,
			zone,
			hash: hashString(id),
		}));
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
			.toSorted((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
		const count =
			ordered.length > maxMutualEntries ? ownerCandidates : ordered.length;
		const candidates = pickAcrossZones(ordered, count);
		this._byCustomer.set(customer, candidates);
		return candidates;
	}
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
