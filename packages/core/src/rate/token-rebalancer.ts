import {tokenRebalanceBelowShare, transferValidityMs} from './constants.js';
import {totalsOf} from './bucket-totals.js';
import type {HeldShards} from './held-shards.js';
import type {HolderDirectory} from './holder-directory.js';
import {RebalanceSchedule} from './rebalance-schedule.js';
import {returnTransfer} from './return-transfer.js';
import type {RateCommand} from './types.js';

/** Options of `TokenRebalancer`. */
export type TokenRebalancerOptions = {
	readonly shards: HeldShards;
	readonly directory: HolderDirectory;
	readonly nextTransferId: () => string;
};

/** Equalises the fill of each customer's buckets between their holders. */
export class TokenRebalancer {
	static create(options: TokenRebalancerOptions): TokenRebalancer {
		return new TokenRebalancer(options);
	}

	private readonly _schedule = RebalanceSchedule.create();

	private constructor(private readonly _options: TokenRebalancerOptions) {}

	/** Records that tokens of the customer were spent on this entry. */
	markSpent(customer: string, now: number): void {
		this._schedule.markSpent(customer, now);
	}

	/** Requests tokens from other holders for customers whose local buckets are low. */
	requestForLowBuckets(now: number): readonly RateCommand[] {
		const commands: RateCommand[] = [];
		for (const customer of this._schedule.due(now)) {
			const {level, burst} = totalsOf(
				this._options.shards.bucketsOf(customer, now),
			);
			if (level >= burst * tokenRebalanceBelowShare) {
				this._schedule.markFull(customer);
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
			const peer = this._schedule.choosePeer(customer, peers, fillShare, now);
			if (peer !== undefined) {
				const transferId = this._options.nextTransferId();
				const tokens = Math.floor(burst - level);
				this._schedule.add(transferId, {customer, peer, requestedAt: now});
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
	 * Deposits the tokens of a transfer in the local buckets, and returns tokens that exceed the burst or arrive too late
	 * to their sender. Undefined if the rebalancer did not request the transfer.
	 */
	receive(
		transferId: string,
		tokens: number,
		now: number,
	): readonly RateCommand[] | undefined {
		const request = this._schedule.take(transferId);
		if (request === undefined) {
			return undefined;
		}

		const {customer, peer, requestedAt} = request;
		let remaining = tokens;
		if (now - requestedAt < transferValidityMs) {
			for (const {bucket} of this._options.shards.bucketsOf(customer, now)) {
				remaining -= bucket.deposit(remaining);
			}
		}

		if (remaining > 0) {
			return [returnTransfer({peer, transferId}, customer, remaining)];
		}

		return tokens > 0
			? [{type: 'confirmTransfer', peer, transferId, customer}]
			: [];
	}

	/** Accounts for time that the monotonic clock did not count. */
	applyClockJump(byMs: number): void {
		this._schedule.applyClockJump(byMs);
	}

	/** Discards requests whose transfers could no longer be used. */
	expire(now: number): void {
		this._schedule.expire(now);
	}
}
