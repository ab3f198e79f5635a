import type {SuspectRegistry} from '@balsamtray/core';
import {heartbeatIntervalMs, suspectsFetchIntervalMs} from './constants.js';
import type {Endpoint} from './types.js';

export type RequestQuarantineOptions = {
	readonly clock: () => number;
	readonly suspects: SuspectRegistry;
	readonly fetchRequests: (from: Endpoint) => Promise<readonly unknown[]>;
	readonly onError: (step: string, err: unknown) => void;
};

/** Shares the quarantined requests with entries that were not there when they crashed servers. */
export class RequestQuarantine {
	static create(options: RequestQuarantineOptions): RequestQuarantine {
		return new RequestQuarantine(options);
	}

	private _digest = '';
	private _digestedAt = Number.NEGATIVE_INFINITY;
	private _fetchedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly _options: RequestQuarantineOptions) {}

	/** Text that differs if other requests are quarantined; empty without any. */
	get digest(): string {
		const {suspects, clock} = this._options;
		const now = clock();
		// Each heartbeat asks for it.
		if (now - this._digestedAt >= heartbeatIntervalMs) {
			this._digestedAt = now;
			this._digest = suspects.digest(now);
		}

		return this._digest;
	}

	/** Fetches the quarantined requests of an entry that has others than this one. */
	async onDigest(
		peer: {readonly id: string; readonly endpoint: Endpoint},
		digest: string | undefined,
	): Promise<void> {
		const {clock, suspects, fetchRequests, onError} = this._options;
		const now = clock();
		if (
			digest === undefined ||
			now - this._fetchedAt < suspectsFetchIntervalMs ||
			digest === this.digest
		) {
			return;
		}

		this._fetchedAt = now;
		try {
			suspects.merge(await fetchRequests(peer.endpoint), clock());
		} catch (error) {
			onError(`quarantined requests of ${peer.id}`, error);
		}
	}
}
