import {dropOldest} from '../common/drop-oldest.js';
import {silenceTimeoutMs} from '../placement/constants.js';
import {
	maxIdleBeforeMs,
	maxUnansweredRequests,
	sameMomentMs,
	unansweredLifetimeMs,
} from './constants.js';

/** A request that was given up without an answer. Times are monotonic, in milliseconds. */
export type UnansweredRequest = {
	readonly fingerprint: string;
	readonly server: string;
	readonly address: string;
	/** Start of the server, in milliseconds since the epoch; 0 if unknown. */
	readonly born: number;
	readonly sentAt: number;
	readonly leftAt: number;
	/** Time at which the server was last heard; undefined if it never was. */
	readonly heardAt: number | undefined;
};

/**
 * Requests under which a server may have gone dark. Such a server breaks no connection; its end is known once another start of
 * a server has its place. Only requests count that were there when it went silent, or came shortly after. As with a broken
 * connection, it is not known which of them ended it.
 */
export class UnansweredRequests {
	static create(): UnansweredRequests {
		return new UnansweredRequests();
	}

	/** Oldest first. */
	private readonly _requests = new Set<UnansweredRequest>();
	/** Time at which the last counted server went silent, by fingerprint, oldest first. */
	private readonly _countedAt = new Map<string, number>();

	private constructor() {}

	/** Takes a request that was given up. */
	add(request: UnansweredRequest): void {
		const {sentAt, leftAt, heardAt = sentAt} = request;
		const isSilent = leftAt - Math.max(sentAt, heardAt) >= silenceTimeoutMs;
		if (isSilent && sentAt - heardAt <= maxIdleBeforeMs) {
			this._requests.add(request);
			dropOldest(this._requests, maxUnansweredRequests);
		}
	}

	/**
	 * Returns the requests whose servers have ended since they were given up, each once. Servers that went silent at one moment
	 * count as one: requests are repeated at one server after the other.
	 */
	takeCrashed(
		hasEnded: (request: UnansweredRequest) => boolean,
		now: number,
	): readonly UnansweredRequest[] {
		const crashed: UnansweredRequest[] = [];
		for (const request of this._requests) {
			if (now - request.leftAt > unansweredLifetimeMs) {
				this._requests.delete(request);
			} else if (hasEnded(request)) {
				this._requests.delete(request);
				if (this._isOtherMoment(request)) {
					crashed.push(request);
				}
			}
		}

		return crashed;
	}

	private _isOtherMoment({
		fingerprint,
		sentAt,
		heardAt = sentAt,
	}: UnansweredRequest): boolean {
		const silentAt = Math.max(sentAt, heardAt);
		const countedAt = this._countedAt.get(fingerprint);
		if (
			countedAt !== undefined &&
			Math.abs(silentAt - countedAt) < sameMomentMs
		) {
			return false;
		}

		this._countedAt.delete(fingerprint);
		this._countedAt.set(fingerprint, silentAt);
		dropOldest(this._countedAt, maxUnansweredRequests);
		return true;
	}
}
