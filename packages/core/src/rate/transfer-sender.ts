import {transferOutstandingMs} from './constants.js';
import type {HeldBucket, HeldShards} from './held-shards.js';
import {totalsOf} from './bucket-totals.js';
import type {RateCommand, RateEvent} from './types.js';

/** Sends tokens of the shards that this entry holds to other entries. */
export class TransferSender {
	static create(shards: HeldShards): TransferSender {
		return new TransferSender(shards);
	}

	private constructor(private readonly _shards: HeldShards) {}

	/**
	 * Answers a transfer request. Without `fillShare` it sends as many of the tokens as it has; with it, at most the
	 * tokens that equalise the fill of both entries' buckets.
	 */
	answer(
		event: Extract<RateEvent, {readonly type: 'transferRequested'}>,
		now: number,
	): RateCommand {
		const {peer, transferId, customer, fillShare} = event;
		const buckets = this._shards.bucketsOf(customer, now);
		const wanted = Math.ceil(event.tokens);
		const tokens =
			fillShare === undefined
				? wanted
				: Math.min(wanted, surplusAbove(buckets, fillShare));
		let sent = 0;
		for (const {bucket} of buckets) {
			const part = Math.min(tokens - sent, bucket.available);
			if (part > 0 && !bucket.hasSent(transferId)) {
				bucket.send(transferId, part, now + transferOutstandingMs);
				sent += part;
			}
		}

		const limit = this._shards.limitOf(customer);
		const tokensPerMs = (limit?.tokensPerSecond ?? 0) / 1000;
		const retry =
			sent < tokens && tokensPerMs > 0
				? {retryAfterMs: Math.ceil((tokens - sent) / tokensPerMs)}
				: {};
		return {
			type: 'sendTransfer',
			peer,
			transferId,
			customer,
			tokens: sent,
			...retry,
		};
	}

	/** Records that the receiver has spent a transfer. */
	confirm(transferId: string, customer: string, now: number): void {
		for (const {bucket} of this._shards.bucketsOf(customer, now)) {
			bucket.confirm(transferId, now);
		}
	}

	/** Credits tokens of a transfer that the receiver did not spend. */
	acceptReturn(
		event: Extract<RateEvent, {readonly type: 'transferReturned'}>,
		now: number,
	): void {
		let remaining = event.tokens;
		for (const {bucket} of this._shards.bucketsOf(event.customer, now)) {
			remaining -= bucket.acceptReturn(event.transferId, remaining);
		}
	}
}

/** Tokens to send so that these buckets and those of an entry at the given fill are about equally full. */
function surplusAbove(
	buckets: readonly HeldBucket[],
	fillShare: number,
): number {
	const {level, burst} = totalsOf(buckets);
	return Math.max(0, Math.floor((level - fillShare * burst) / 2));
}
