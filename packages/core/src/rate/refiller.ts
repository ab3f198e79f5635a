import {refillBelowShare, transferValidityMs} from './constants.js';
import {fillOf} from './fill.js';
import type {HeldShards} from './held-shards.js';
import type {HolderDirectory} from './holder-directory.js';
import {Refills} from './refills.js';
import {returnTransfer} from './return-transfer.js';
import type {RateCommand} from './types.js';

/** What the refiller works on. */
export type RefillerOptions = {
	readonly shards: HeldShards;
	readonly directory: HolderDirectory;
	readonly nextTransferId: () => string;
};

/** Evens the buckets of one customer out between their holders. */
export class Refiller {
	static create(options: RefillerOptions): Refiller {
		return new Refiller(options);
	}

	private readonly _refills = Refills.create();

	private constructor(private readonly _options: RefillerOptions) {}

	/** Notes that tokens of the customer were spent here. */
	noteSpent(customer: string, now: number): void {
		this._refills.noteSpent(customer, now);
	}

	/** Asks other holders to even out where the buckets here are low. */
	askLow(now: number): readonly RateCommand[] {
		const commands: RateCommand[] = [];
		for (const customer of this._refills.due(now)) {
			const {level, burst} = fillOf(
				this._options.shards.bucketsOf(customer, now),
			);
			if (level >= burst * refillBelowShare) {
				this._refills.noteFull(customer);
				continue;
			}

			const shards = this._options.shards.shardsOf(customer);
			const peers = this._options.directory.peersToAsk(
				customer,
				shards,
				1,
				now,
			);
			const fillShare = Math.max(0, level / burst);
			const peer = this._refills.choosePeer(customer, peers, fillShare, now);
			if (peer !== undefined) {
				const transferId = this._options.nextTransferId();
				const tokens = Math.floor(burst - level);
				this._refills.add(transferId, {customer, peer, askedAt: now});
				commands.push({
					type: 'requestTransfer',
					peer,
					transferId,
					customer,
					tokens,
					fillShare,
				});
			}
		}

		return commands;
	}

	/**
	 * Takes the answer to a question into the buckets here. What finds no room or comes too late goes back.
	 * Undefined: no such question was asked.
	 */
	take(
		transferId: string,
		tokens: number,
		now: number,
	): readonly RateCommand[] | undefined {
		const ask = this._refills.take(transferId);
		if (ask === undefined) {
			return undefined;
		}

		const {customer, peer, askedAt} = ask;
		let left = tokens;
		if (now - askedAt < transferValidityMs) {
			for (const {bucket} of this._options.shards.bucketsOf(customer, now)) {
				left -= bucket.absorb(left);
			}
		}

		if (left > 0) {
			return [returnTransfer({peer, transferId}, customer, left)];
		}

		return tokens > 0
			? [{type: 'confirmTransfer', peer, transferId, customer}]
			: [];
	}

	/** More time went by than the clock shows. */
	jump(byMs: number): void {
		this._refills.jump(byMs);
	}

	expire(now: number): void {
		this._refills.expire(now);
	}
}
