import type {Random} from '../common/random.js';
import {partnerCount, partnerIntervalMs} from './constants.js';

/**
 * The few peers with which a process talks at present. They stay long enough for connections to be used again,
 * and are replaced one by one, so that over time a process talks with all.
 */
export class PartnerSet {
	public static create(id: string, random: Random): PartnerSet {
		return new PartnerSet(id, random);
	}

	private _peers: readonly string[] = [];
	private _otherCount = 0;
	private readonly _partners: string[] = [];
	private _next = 0;
	private _replaceAt: number | undefined;

	private constructor(
		private readonly _id: string,
		private readonly _random: Random,
	) {}

	/** Processes other than this one. */
	public get otherCount(): number {
		return this._otherCount;
	}

	public setPeers(peers: readonly string[]): void {
		this._peers = peers;
		this._otherCount = peers.filter(peer => peer !== this._id).length;
		this._fill();
	}

	/** The partners whose turn it is. */
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

	/** Distinct random peers, partners or not. */
	public any(count: number): readonly string[] {
		const picked = new Set<string>();
		const tries = Math.min(count, this._peers.length) * 4;
		for (let i = 0; i < tries && picked.size < count; i++) {
			const peer = this._randomPeer();
			if (peer !== undefined) {
				picked.add(peer);
			}
		}

		return [...picked];
	}

	/** Takes another peer in the place of one that did not answer. */
	public replace(partner: string): void {
		const index = this._partners.indexOf(partner);
		if (index !== -1) {
			this._partners.splice(index, 1);
			this._fill();
		}
	}

	/** Replaces the oldest partner when its time has come. */
	public tick(now: number): void {
		this._replaceAt ??= now + this._random() * partnerIntervalMs;
		if (now < this._replaceAt) {
			return;
		}

		this._replaceAt = now + partnerIntervalMs;
		this._partners.shift();
		this._fill();
	}

	private _fill(): void {
		const wanted = Math.min(partnerCount, this._otherCount);
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
