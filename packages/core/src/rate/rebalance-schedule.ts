import {
	tokenRebalanceIntervalMs,
	transferValidityMs,
	urgentTokenRebalanceIntervalMs,
	urgentTokenRebalanceShare,
} from './constants.js';

/** A request for tokens that equalise the fill of the holders' buckets. */
export type RebalanceRequest = {
	readonly customer: string;
	readonly peer: string;
	/** Moved back when the clock jumps. */
	requestedAt: number;
};

/**
 * Tracks customers whose local buckets may be low while those of other holders are full.
 *
 * A full bucket stops accruing, so unevenly filled buckets cost the customer tokens. A holder whose buckets are low
 * asks the other holders in turn (round robin).
 */
export class RebalanceSchedule {
	static create(): RebalanceSchedule {
		return new RebalanceSchedule();
	}

	/** Customers whose buckets may be low, with the time of their next check. */
	private readonly _nextCheckAt = new Map<string, number>();
	/** Number of peers chosen so far, by customer. */
	private readonly _peerTurns = new Map<string, number>();
	/** Requests without an answer, by transfer. */
	private readonly _requests = new Map<string, RebalanceRequest>();

	private constructor() {
		// Instances come from `create`.
	}

	/** Records that tokens of the customer were spent on this entry. */
	markSpent(customer: string, now: number): void {
		if (!this._nextCheckAt.has(customer)) {
			this._nextCheckAt.set(customer, now);
		}
	}

	/** Customers whose check is due. */
	due(now: number): readonly string[] {
		const due: string[] = [];
		for (const [customer, at] of this._nextCheckAt) {
			if (at <= now) {
				due.push(customer);
			}
		}

		return due;
	}

	/** Stops checking the customer, because its local buckets are full enough. */
	markFull(customer: string): void {
		this._nextCheckAt.delete(customer);
		this._peerTurns.delete(customer);
	}

	/** Chooses the next holder in turn and schedules the customer's next check. */
	choosePeer(
		customer: string,
		peers: readonly string[],
		fillShare: number,
		now: number,
	): string | undefined {
		const turn = this._peerTurns.get(customer) ?? 0;
		this._peerTurns.set(customer, turn + 1);
		const isUrgent = fillShare < urgentTokenRebalanceShare;
		const intervalMs = isUrgent
			? urgentTokenRebalanceIntervalMs
			: tokenRebalanceIntervalMs;
		this._nextCheckAt.set(customer, now + intervalMs);
		return peers[turn % peers.length];
	}

	add(transferId: string, request: RebalanceRequest): void {
		this._requests.set(transferId, request);
	}

	take(transferId: string): RebalanceRequest | undefined {
		const request = this._requests.get(transferId);
		this._requests.delete(transferId);
		return request;
	}

	/** Accounts for time that the monotonic clock did not count. */
	applyClockJump(byMs: number): void {
		for (const request of this._requests.values()) {
			request.requestedAt -= byMs;
		}
	}

	/** Discards requests whose transfers could no longer be used. */
	expire(now: number): void {
		for (const [transferId, request] of this._requests) {
			if (now - request.requestedAt >= transferValidityMs) {
				this._requests.delete(transferId);
			}
		}
	}
}
