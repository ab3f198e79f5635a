import {transferOutstandingMs} from './constants.js';
import type {HeldBucket, HeldShards} from './held-shards.js';
import {fillOf} from './fill.js';
import type {RateCommand, RateEvent} from './types.js';

/** The holder's side of transfers: lends tokens of the shards that are held here. */
export class TokenLender {
	static create(shards: HeldShards): TokenLender {
		return new TokenLender(shards);
	}

	private constructor(private readonly _shards: HeldShards) {}

	/** Answers another entry, with what is here or with what evens out. */
	serve(
		event: Extract<RateEvent, {readonly type: 'transferRequested'}>,
		now: number,
	): RateCommand {
		const {peer, transferId, customer, fillShare} = event;
		const buckets = this._shards.bucketsOf(customer, now);
		const wanted = Math.ceil(event.tokens);
		const tokens =
			fillShare === undefined
				? wanted
				: Math.min(wanted, surplusOver(buckets, fillShare));
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

	/** The receiver has spent a transfer. */
	confirm(transferId: string, customer: string, now: number): void {
		for (const {bucket} of this._shards.bucketsOf(customer, now)) {
			bucket.confirm(transferId, now);
		}
	}

	/** Takes tokens back that the receiver did not spend. */
	takeBack(
		event: Extract<RateEvent, {readonly type: 'transferReturned'}>,
		now: number,
	): void {
		let left = event.tokens;
		for (const {bucket} of this._shards.bucketsOf(event.customer, now)) {
			left -= bucket.takeBack(event.transferId, left);
		}
	}
}

/** Tokens that even out these buckets with those of an entry that are filled to the share. */
function surplusOver(
	buckets: readonly HeldBucket[],
	fillShare: number,
): number {
	const {level, burst} = fillOf(buckets);
	return Math.max(0, Math.floor((level - fillShare * burst) / 2));
}
