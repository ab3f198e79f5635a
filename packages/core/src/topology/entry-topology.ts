import {
	hashString,
	rendezvousScore,
	topByRendezvous,
} from '../common/rendezvous.js';
import {
	extraLinks,
	maxZoneChildren,
	readSpreadMs,
	streamCandidates,
} from './constants.js';
import {OwnerOrder} from './owner-order.js';
import type {IsLost, Member} from './types.js';

/**
 * Decides with which other entries an entry exchanges heartbeats, whether it reads the store for its zone, and which
 * agents' reports it relays.
 *
 * The entries of a zone form a tree in rendezvous order. Its root reads the store; changes and proofs of freshness reach
 * the others along the tree. Roots of zones are linked with each other, as are the candidates for a customer's rate, and
 * each entry has a few links more. So the number of an entry's links does not depend on the number of entries.
 * Each entry works this out from the members table and from the losses that it sees; entries that differ in their view
 * cost reads and messages, never correctness.
 */
export class EntryTopology {
	static create(self: Member): EntryTopology {
		return new EntryTopology(self);
	}

	private _members: readonly Member[];
	/** Identifiers of each zone's entries in the order of its tree. */
	private _zones: ReadonlyMap<string, readonly string[]> = new Map();
	private _owners = OwnerOrder.create([]);
	private _extraLinks: readonly string[] = [];
	/** Server whose relay is asked for, with the relay; cleared when the members or the losses change. */
	private readonly _relays = new Map<string, string>();
	private _relaysKey = '';
	/** Rank of this entry in the order for a key, cleared when the members change. */
	private readonly _ranks = new Map<string, number>();

	private constructor(private readonly _self: Member) {
		this._members = [_self];
		this._update();
	}

	/** Number of entries, including this one. */
	get size(): number {
		return this._members.length;
	}

	/** Replaces the other entries. */
	setMembers(others: readonly Member[]): void {
		this._members = [
			this._self,
			...others.filter(({id}) => id !== this._self.id),
		];
		this._update();
	}

	/** The entry from which this one gets changes; undefined if this entry is the root of its zone. */
	parent(isLost: IsLost): string | undefined {
		const live = this._liveZone(isLost);
		const rank = live.indexOf(this._self.id);
		return rank <= 0
			? undefined
			: live[Math.floor((rank - 1) / maxZoneChildren)];
	}

	/** Whether this entry reads the store for its zone. */
	isRoot(isLost: IsLost): boolean {
		return this.parent(isLost) === undefined;
	}

	/** Entries that should get changes from this entry, and so send it heartbeats. Lost ones are included. */
	children(isLost: IsLost): readonly string[] {
		const live = this._liveZone(isLost);
		const rank = live.indexOf(this._self.id);
		if (rank === 0 && this._zoneOrder.length <= maxZoneChildren + 1) {
			return this._zoneOrder.filter(id => id !== this._self.id);
		}

		const first = rank * maxZoneChildren + 1;
		return live.slice(first, first + maxZoneChildren);
	}

	/** Entries that this entry sends heartbeats to on its own account. Those that it hears from get replies besides. */
	links(customers: readonly string[], isLost: IsLost): ReadonlySet<string> {
		const links = new Set(this._extraLinks);
		const parent = this.parent(isLost);
		if (parent === undefined) {
			for (const [zone, ids] of this._zones) {
				const root = ids.find(id => !isLost(id));
				if (zone !== this._self.zone && root !== undefined) {
					links.add(root);
				}
			}
		} else {
			links.add(parent);
		}

		for (const customer of customers) {
			const candidates = this.ownerCandidates(customer);
			if (candidates.includes(this._self.id)) {
				for (const id of candidates) {
					links.add(id);
				}
			}
		}

		links.delete(this._self.id);
		return links;
	}

	/**
	 * Entries that this entry would be linked with if they were not lost. They get heartbeats at a lower rate, so that
	 * their return is noticed.
	 */
	lostLinks(isLost: IsLost): readonly string[] {
		const before = this._zoneOrder.slice(
			0,
			this._zoneOrder.indexOf(this._self.id),
		);
		const lostBefore = before.filter(id => isLost(id));
		if (!this.isRoot(isLost)) {
			return lostBefore.slice(0, maxZoneChildren);
		}

		const lostRoots = [...this._zones]
			.filter(([zone]) => zone !== this._self.zone)
			.map(([, ids]) => ids[0]!)
			.filter(id => isLost(id));
		return [...lostBefore.slice(0, maxZoneChildren), ...lostRoots];
	}

	/** Entries that keep the customer's levels, in the order in which they own its rate. */
	ownerCandidates(customer: string): readonly string[] {
		return this._owners.candidates(customer);
	}

	/** Entries that may keep the origin of a stream, in order; in different zones as far as there are zones. */
	streamCandidates(stream: string): readonly string[] {
		return this._owners.first(stream, streamCandidates);
	}

	/** Whether this entry relays the reports of the server's agent to its zone. */
	isRelay(server: string, isLost: IsLost): boolean {
		const live = this._liveZone(isLost);
		const key = live.join(' ');
		if (key !== this._relaysKey) {
			this._relaysKey = key;
			this._relays.clear();
		}

		let relay = this._relays.get(server);
		if (relay === undefined) {
			[relay = this._self.id] = topByRendezvous(server, live, 1);
			this._relays.set(server, relay);
		}

		return relay === this._self.id;
	}

	/** Number of entries that come before this one in the order for a key, on which all entries agree. */
	rank(key: string): number {
		let rank = this._ranks.get(key);
		if (rank === undefined) {
			const ids = this._members.map(({id}) => id);
			rank = topByRendezvous(key, ids, ids.length).indexOf(this._self.id);
			this._ranks.set(key, rank);
		}

		return rank;
	}

	/** Other live entries of this entry's zone. */
	zonePeers(isLost: IsLost): readonly string[] {
		return this._liveZone(isLost).filter(id => id !== this._self.id);
	}

	/** Delay by which this entry's own reads are shifted against those of other entries, in milliseconds. */
	get readShiftMs(): number {
		return hashString(this._self.id) % readSpreadMs;
	}

	private get _zoneOrder(): readonly string[] {
		return this._zones.get(this._self.zone) ?? [];
	}

	private _liveZone(isLost: IsLost): readonly string[] {
		return this._zoneOrder.filter(id => id === this._self.id || !isLost(id));
	}

	private _update(): void {
		const zones = new Map<string, string[]>();
		for (const {id, zone} of this._members) {
			const ids = zones.get(zone) ?? [];
			zones.set(zone, ids);
			ids.push(id);
		}

		this._zones = new Map(
			[...zones].map(([zone, ids]) => [zone, inTreeOrder(zone, ids)]),
		);
		this._owners = OwnerOrder.create(this._members);
		this._extraLinks = topByRendezvous(
			`links of ${this._self.id}`,
			this._members.map(({id}) => id).filter(id => id !== this._self.id),
			extraLinks,
		);
		this._relays.clear();
		this._ranks.clear();
	}
}

function inTreeOrder(zone: string, ids: readonly string[]): readonly string[] {
	const zoneHash = hashString(`tree of ${zone}`);
	const scoreOf = (id: string) => rendezvousScore(zoneHash, hashString(id));
	return ids.toSorted((a, b) => scoreOf(b) - scoreOf(a) || (a < b ? -1 : 1));
}
