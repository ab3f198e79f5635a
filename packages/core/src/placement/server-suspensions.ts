import {
	maxRememberedServers,
	maxServerSuspensionMs,
	resumptionIntervalMs,
	resumptionRampMs,
	resumptionSpreadMs,
} from './constants.js';

type Suspension = {
	/** Time until which the server wants no requests. */
	readonly until: number;
	readonly service: string;
};

/** What a server said when it turned a request away. */
export type SuspensionStatement = {
	/** Time for which it wants no requests, in milliseconds. */
	readonly forMs: number;
	/** Random number in [0, 1) that spreads the first requests of the entries after that time. */
	readonly share: number;
	readonly service: string;
};

/**
 * Times for which servers want no requests from this entry. They hold for a server's identifier until they end, whether
 * its row is listed or not: rows also vanish and return while a server runs. A new start of the server does not end them,
 * since a response does not say from which start it is. Keeps the last `maxRememberedServers` of them.
 */
export class ServerSuspensions {
	static create(): ServerSuspensions {
		return new ServerSuspensions();
	}

	/** By server, in the order in which they were last noted. */
	private readonly _suspensions = new Map<string, Suspension>();

	private constructor() {}

	get size(): number {
		return this._suspensions.size;
	}

	/** Of several times that a server said, the one that ends last counts. */
	note(
		id: string,
		{forMs, share, service}: SuspensionStatement,
		now: number,
	): void {
		const until =
			now + Math.min(forMs, maxServerSuspensionMs) + share * resumptionSpreadMs;
		const known = this._suspensions.get(id);
		this._suspensions.delete(id);
		this._suspensions.set(id, {
			until: Math.max(until, known?.until ?? until),
			service,
		});
		this._forgetOldest(now);
	}

	/** Time for which the server wants no requests, in milliseconds; 0 if it takes them. */
	remainingMs(id: string, now: number): number {
		return Math.max(0, (this._suspensions.get(id)?.until ?? now) - now);
	}

	/**
	 * Whether the server takes another request. After a suspension, the requests of an entry rise slowly.
	 *
	 * @param sentSince returns the number of this entry's requests to the server from a time on
	 */
	isTakingRequests(
		id: string,
		sentSince: (at: number) => number,
		now: number,
	): boolean {
		const suspension = this._suspensions.get(id);
		if (suspension === undefined) {
			return true;
		}

		const sinceMs = now - suspension.until;
		return sinceMs < 0 || sinceMs >= resumptionRampMs
			? sinceMs >= 0
			: sentSince(suspension.until) <= sinceMs / resumptionIntervalMs;
	}

	/** Servers of a service that want no requests now. */
	suspendedServers(service: string, now: number): readonly string[] {
		return [...this._suspensions]
			.filter(
				([, suspension]) =>
					suspension.service === service && suspension.until > now,
			)
			.map(([id]) => id);
	}

	private _forgetOldest(now: number): void {
		for (const [id, {until}] of this._suspensions) {
			const isOver = until + resumptionRampMs <= now;
			if (!isOver && this._suspensions.size <= maxRememberedServers) {
				return;
			}

			this._suspensions.delete(id);
		}
	}
}
