import {
	UnansweredRequests,
	type SuspectRegistry,
	type UnansweredRequest,
} from '@balsamtray/core';
import {heartbeatIntervalMs, suspectsFetchIntervalMs} from './constants.js';
import type {EventLog} from './event-log.js';
import type {Endpoint} from './types.js';

export type RequestQuarantineOptions = {
	readonly clock: () => number;
	readonly suspects: SuspectRegistry;
	/** Whether the server's start is known to be over. */
	readonly hasEnded: (request: UnansweredRequest) => boolean;
	/** Tells all entries that a request was at a server that ended. */
	readonly spread: (fingerprint: string, server: string) => void;
	readonly fetchRequests: (from: Endpoint) => Promise<readonly unknown[]>;
	readonly onError: (step: string, err: unknown) => void;
	readonly log: Pick<EventLog, 'write'>;
};

/**
 * Quarantine of requests that crash servers. Finds the ones under which servers go dark, and shares the quarantined ones with
 * entries that were not there when they crashed servers.
 */
export class RequestQuarantine {
	static create(options: RequestQuarantineOptions): RequestQuarantine {
		return new RequestQuarantine(options);
	}

	private readonly _unanswered = UnansweredRequests.create();
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

	/** Takes a request that was given up at its server. */
	noteUnanswered(request: UnansweredRequest): void {
		this._unanswered.add(request);
	}

	/** Looks for servers that ended without breaking their connections. Runs several times per second. */
	checkServers(): void {
		const {clock, suspects, hasEnded, spread, log} = this._options;
		const now = clock();
		for (const request of this._unanswered.takeCrashed(hasEnded, now)) {
			const {fingerprint, server} = request;
			log.write({event: 'requestSuspected', fingerprint, server});
			suspects.noteCrash([fingerprint], server, now);
			spread(fingerprint, server);
		}
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
