import {hashString, rendezvousScore} from '../common/rendezvous.js';
import {shortageTtlMs, unresponsivePeerMs} from './constants.js';
import type {RateHolder} from './types.js';

/** Tokens that a holder had left when it could not send all that was requested. */
type Shortage = {
	readonly tokensLeft: number;
	/** Time of the monotonic clock until which the shortage is assumed to last, in milliseconds. */
	readonly until: number;
};

/** Holders of the shards, and the order in which this entry requests tokens from them. */
export class HolderDirectory {
	static create(self: RateHolder): HolderDirectory {
		return new HolderDirectory(self);
	}

	private _holders: ReadonlyMap<string, RateHolder> = new Map();
	/** Shards whose holder was known at some time. */
	private readonly _everHeld = new Set<string>();
	private readonly _self: RateHolder;
	private readonly _selfHash: number;
	private readonly _unresponsiveUntil = new Map<string, number>();
	/** Keyed by peer and customer, separated by a space. */
	private readonly _shortages = new Map<string, Shortage>();

	private constructor(self: RateHolder) {
		this._self = self;
		this._selfHash = hashString(self.id);
	}

	setHolders(holders: ReadonlyMap<string, RateHolder>): void {
		this._holders = holders;
		for (const shard of holders.keys()) {
			this._everHeld.add(shard);
		}
	}

	/** Whether the holders of all these shards are known. */
	knowsAll(shards: readonly string[]): boolean {
		return shards.every(shard => this._holders.has(shard));
	}

	/** Whether the holder of each of these shards has been known since the start. */
	hasKnownAll(shards: readonly string[]): boolean {
		return shards.every(shard => this._everHeld.has(shard));
	}

	/** Records that a transfer from the holder timed out or failed, so it is asked last for a while. */
	markUnresponsive(peer: string, now: number): void {
		this._unresponsiveUntil.set(peer, now + unresponsivePeerMs);
	}

	/** Records that the holder answered. */
	markResponsive(peer: string): void {
		this._unresponsiveUntil.delete(peer);
	}

	/** Records how many tokens a holder has left for the customer, so it isn't asked for more for a while. */
	recordShortage(
		peer: string,
		customer: string,
		tokensLeft: number,
		now: number,
	): void {
		const until = now + shortageTtlMs;
		this._shortages.set(`${peer} ${customer}`, {tokensLeft, until});
	}

	/**
	 * Other holders of the shards to request tokens from, nearest first and unresponsive ones last. Empty if their
	 * recorded shortages show that together they have fewer tokens than are missing.
	 */
	peersToAsk(
		customer: string,
		shards: readonly string[],
		missing: number,
		now: number,
	): string[] {
		const peers = new Map<string, number>();
		let expected = 0;
		for (const shard of shards) {
			const holder = this._holders.get(shard);
			if (holder === undefined || holder.id === this._self.id) {
				continue;
			}

			const tokens = this._expectedTokens(holder.id, customer, now);
			expected += tokens;
			if (tokens > 0) {
				peers.set(holder.id, this._askOrder(holder, now));
			}
		}

		if (expected < missing) {
			return [];
		}

		return [...peers].toSorted((a, b) => a[1] - b[1]).map(([id]) => id);
	}

	/** Discards expired marks of unresponsive holders and expired shortages. */
	expire(now: number): void {
		for (const [peer, until] of this._unresponsiveUntil) {
			if (until <= now) {
				this._unresponsiveUntil.delete(peer);
			}
		}

		for (const [key, shortage] of this._shortages) {
			if (shortage.until <= now) {
				this._shortages.delete(key);
			}
		}
	}

	private _expectedTokens(peer: string, customer: string, now: number): number {
		const shortage = this._shortages.get(`${peer} ${customer}`);
		return shortage !== undefined && now < shortage.until
			? shortage.tokensLeft
			: Number.POSITIVE_INFINITY;
	}

	/**
	 * Sort key: unresponsive holders last, then by region, then by zone. Ties are broken by a hash that differs for each requesting
	 * entry, which spreads the load.
	 */
	private _askOrder(holder: RateHolder, now: number): number {
		const isUnresponsive = (this._unresponsiveUntil.get(holder.id) ?? 0) > now;
		const isOtherRegion = holder.region !== this._self.region;
		const isOtherZone = isOtherRegion || holder.zone !== this._self.zone;
		const tieBreaker =
			rendezvousScore(this._selfHash, hashString(holder.id)) / 2 ** 32;
		return (
			(isUnresponsive ? 4 : 0) +
			(isOtherRegion ? 2 : 0) +
			(isOtherZone ? 1 : 0) +
			tieBreaker
		);
	}
}
