import {maxOpenRecords, openReservationMs} from './constants.js';
import type {LocalPart, TransferPart} from './pending-reservation.js';

/** A completed reservation whose unused tokens may still be returned. */
export type OpenReservation = {
	readonly customer: string;
	/** Time of the monotonic clock, in milliseconds. */
	readonly reservedAt: number;
	readonly localParts: ReadonlyArray<LocalPart & {readonly mark: number}>;
	readonly transferParts: ReadonlyArray<Omit<TransferPart, 'validUntil'>>;
};

/** Completed reservations whose unused tokens may still be returned, oldest first. */
export class OpenReservations {
	static create(): OpenReservations {
		return new OpenReservations();
	}

	private readonly _open = new Map<string, OpenReservation>();

	private constructor() {
		// Instances come from `create`.
	}

	add(requestId: string, reservation: OpenReservation): void {
		this._open.delete(requestId);
		this._open.set(requestId, reservation);
		this.expire(reservation.reservedAt);
	}

	/** Removes and returns a reservation, so its tokens can be returned only once. */
	take(requestId: string): OpenReservation | undefined {
		const reservation = this._open.get(requestId);
		this._open.delete(requestId);
		return reservation;
	}

	/** Evicts reservations that are too old, and the oldest ones above the limit. Their tokens stay spent. */
	expire(now: number): void {
		for (const [requestId, reservation] of this._open) {
			const isOld = now - reservation.reservedAt >= openReservationMs;
			if (!isOld && this._open.size <= maxOpenRecords) {
				return;
			}

			this._open.delete(requestId);
		}
	}
}
