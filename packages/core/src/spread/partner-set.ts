import type {Random} from '../common/random.js';
import {partnerCount, partnerIntervalMs} from './constants.js';

/**
 * The few peers with which a process currently exchanges versions. A partner stays long enough to reuse its connection.
 * Partners are replaced one at a time, so that over time a process exchanges versions with all peers.
 */
export class PartnerSet {
	public static create(id: string, random: Random): PartnerSet {
		return new PartnerSet(id, random);
	}

	private _peers: readonly string[] = [];
	private _otherPeerCount = 0;
	private readonly _partners: string[] = [];
	private _next = 0;
	private _replaceAt: number | undefined;

	private constructor(
		private readonly _id: string,
		private readonly _random: Random,
	) {}

	/** Number of peers, not counting this process. */
	public get otherPeerCount(): number {
		return this._otherPeerCount;
	}

	public setPeers(peers: readonly string[]): void {
		this._peers = peers;
		this._otherPeerCount = peers.filter(peer => peer !== this._id).length;
		this._refill();
	}

	/** The next partners in rotation. */
	public next(count: number): readonly string[] {
		const picked: string[] = [];
		const length = Math.min(count, this._partners.length);
		while (picked.length < length) {
			const partner = this._partners[this._next % this._partners.length];
			this._next++;
			if (partner !== undefined) {
				picked.push(partner);
			}
		}

		return picked;
	}

	/** Up to `count` distinct random peers, partners or not. */
	public randomPeers(count: number): readonly string[] {
		const picked = new Set<string>();
		// A draw may repeat a peer or return this process, so more draws are made than peers are needed.
		const maxAttempts = Math.min(count, this._peers.length) * 4;
		for (let i = 0; i < maxAttempts && picked.size < count; i++) {
			const peer = this._randomPeer();
			if (peer !== undefined) {
				picked.add(peer);
			}
		}

		return [...picked];
	}

	/** Replaces a partner that did not answer with another peer. */
	public replace(partner: string): void {
		const index = this._partners.indexOf(partner);
		if (index !== -1) {
			this._partners.splice(index, 1);
			this._refill();
		}
	}

	/** Replaces the oldest partner once the partner interval has passed. */
	public tick(now: number): void {
		this._replaceAt ??= now + this._random() * partnerIntervalMs;
		if (now < this._replaceAt) {
			return;
		}

		this._replaceAt = now + partnerIntervalMs;
		this._partners.shift();
		this._refill();
	}

	private _refill(): void {
		const wanted = Math.min(partnerCount, this._otherPeerCount);
		for (let i = 0; i < wanted * 4 && this._partners.length < wanted; i++) {
			const peer = this._randomPeer();
			if (peer !== undefined && !this._partners.includes(peer)) {
				this._partners.push(peer);
			}
		}
	}

	private _randomPeer(): string | undefined {
		const index = Math.floor(this._random() * this._peers.length);
		const peer = this._peers[index];
		return peer === this._id ? undefined : peer;
	}
}
