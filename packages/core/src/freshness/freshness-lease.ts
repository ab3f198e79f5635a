import {freshnessMarginMs} from './constants.js';

/**
 * Lease under which this process may act on the authority's statements. Proofs renew it. A proof is a time at which the
 * process is known to have had the newest statements: the start of a successful read by this process or by a peer.
 */
export class FreshnessLease {
	/** @param boundMs returns the time after which a withdrawn key must not be used, in milliseconds; undefined for no limit */
	static create(boundMs: () => number | undefined): FreshnessLease {
		return new FreshnessLease(boundMs);
	}

	private _provenAt = Number.NEGATIVE_INFINITY;
	private _epoch = 0;
	private _era = 0;

	private constructor(private readonly _boundMs: () => number | undefined) {}

	/** Time of the newest proof, on the monotonic clock in milliseconds; negative infinity without one. */
	get provenAt(): number {
		return this._provenAt;
	}

	/** Time of the newest proof if it applies to the era of the store; negative infinity otherwise. */
	provenAtIn(era: number): number {
		return era === this._era ? this._provenAt : Number.NEGATIVE_INFINITY;
	}

	/**
	 * Renews the lease, unless the proof is older than the current one, from another epoch or from an earlier era. A proof
	 * from a newer era replaces those of earlier eras, which prove nothing about it.
	 *
	 * @param epoch epoch of the `SuspensionDetector` at the time of the proof
	 * @param era era of the store to which the proof applies
	 */
	prove(provenAt: number, epoch: number, era: number): void {
		if (epoch !== this._epoch || era < this._era) {
			return;
		}

		if (era > this._era || provenAt > this._provenAt) {
			this._era = era;
			this._provenAt = provenAt;
		}
	}

	/** Ends the lease after a suspension. Proofs from earlier epochs no longer count. */
	invalidate(epoch: number): void {
		this._epoch = epoch;
		this._provenAt = Number.NEGATIVE_INFINITY;
	}

	ageMs(now: number): number {
		return now - this._provenAt;
	}

	isFresh(now: number): boolean {
		const boundMs = this._boundMs();
		return (
			boundMs === undefined || this.ageMs(now) < boundMs - freshnessMarginMs
		);
	}
}

/**
 * Returns the longest time for which a read may wait for changes so that each proof arrives before the previous one
 * expires, in milliseconds. A read proves the time at which it began, so the oldest proof in use is two reads old.
 *
 * @param boundMs time after which a withdrawn key must not be used, in milliseconds; undefined for no limit
 * @param latenessMs time that a response may take beyond the wait, in milliseconds
 */
export function maxProofWaitMs(
	boundMs: number | undefined,
	latenessMs: number,
): number {
	return boundMs === undefined
		? Number.POSITIVE_INFINITY
		: Math.max(0, (boundMs - freshnessMarginMs) / 2 - latenessMs);
}
