import {
	refillIntervalMs,
	transferValidityMs,
	urgentRefillIntervalMs,
	urgentRefillShare,
} from './constants.js';

/** A question for tokens that even out the holders' buckets. */
export type RefillAsk = {
	readonly customer: string;
	readonly peer: string;
	askedAt: number;
};

/**
 * Keeps track of customers whose buckets here are low while those of other holders may be full.
 *
 * A full bucket no longer accrues, so tokens that lie uneven are lost to the customer. A holder that is low asks the
 * others in turn to even out.
 */
export class Refills {
	static create(): Refills {
		return new Refills();
	}

	/** Customers that may be low, with the time of the next question. */
	private readonly _nextAt = new Map<string, number>();
	private readonly _turns = new Map<string, number>();
	private readonly _asks = new Map<string, RefillAsk>();

	private constructor() {
		// Instances come from `create`.
	}

	/** Notes that tokens of the customer were spent here. */
	noteSpent(customer: string, now: number): void {
		if (!this._nextAt.has(customer)) {
			this._nextAt.set(customer, now);
		}
	}

	/** Customers that are to be looked at now. */
	due(now: number): readonly string[] {
		const due: string[] = [];
		for (const [customer, at] of this._nextAt) {
			if (at <= now) {
				due.push(customer);
			}
		}

		return due;
	}

	/** The customer's buckets here are full enough. */
	noteFull(customer: string): void {
		this._nextAt.delete(customer);
		this._turns.delete(customer);
	}

	/** Chooses the holder whose turn it is. */
	choosePeer(
		customer: string,
		peers: readonly string[],
		fillShare: number,
		now: number,
	): string | undefined {
		const turn = this._turns.get(customer) ?? 0;
		this._turns.set(customer, turn + 1);
		const isUrgent = fillShare < urgentRefillShare;
		const intervalMs = isUrgent ? urgentRefillIntervalMs : refillIntervalMs;
		this._nextAt.set(customer, now + intervalMs);
		return peers[turn % peers.length];
	}

	add(transferId: string, ask: RefillAsk): void {
		this._asks.set(transferId, ask);
	}

	take(transferId: string): RefillAsk | undefined {
		const ask = this._asks.get(transferId);
		this._asks.delete(transferId);
		return ask;
	}

	/** More time went by than the clock shows. */
	jump(byMs: number): void {
		for (const ask of this._asks.values()) {
			ask.askedAt -= byMs;
		}
	}

	/** Forgets questions whose answers could no longer be used. */
	expire(now: number): void {
		for (const [transferId, ask] of this._asks) {
			if (now - ask.askedAt >= transferValidityMs) {
				this._asks.delete(transferId);
			}
		}
	}
}
