import {maxOpenRecords, openReservationMs} from './constants.js';
import type {OwnPart, TransferPart} from './gathering.js';

/** A reservation that may still give tokens back. */
export type OpenReservation = {
	readonly customer: string;
	readonly reservedAt: number;
	readonly own: ReadonlyArray<OwnPart & {readonly mark: number}>;
	readonly transfers: ReadonlyArray<Omit<TransferPart, 'validUntil'>>;
};

/** The reservations that may still give tokens back, in the order of their times. */
export class OpenReservations {
	static create(): OpenReservations {
		return new OpenReservations();
	}

	private readonly _open = new Map<string, OpenReservation>();

	private constructor() {
		// Instances come from `create`.
	}

	add(requestId: string, open: OpenReservation): void {
		this._open.delete(requestId);
		this._open.set(requestId, open);
		this.expire(open.reservedAt);
	}

	/** Removes and returns a reservation, so that it gives back once. */
	take(requestId: string): OpenReservation | undefined {
		const open = this._open.get(requestId);
		this._open.delete(requestId);
		return open;
	}

	/** Forgets reservations that are too old or too many. Their tokens stay spent. */
	expire(now: number): void {
		for (const [requestId, open] of this._open) {
			const isOld = now - open.reservedAt >= openReservationMs;
			if (!isOld && this._open.size <= maxOpenRecords) {
				return;
			}

			this._open.delete(requestId);
		}
	}
}
