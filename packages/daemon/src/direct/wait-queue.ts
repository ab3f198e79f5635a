import {
	RefusedCallers,
	WaitingRequests,
	type FleetView,
	type WaitingRequest,
} from '@balsamtray/core';
import {wakeIntervalMs} from './constants.js';

/** A request that waits for a server or an adapter. */
export type Waiter = WaitingRequest & {
	/**
	 * Called once the request is removed from the queue, to look for a server again.
	 *
	 * @returns the request as it waits again; undefined if it no longer waits
	 */
	readonly retry: () => Waiter | undefined;
};

export type WaitQueueOptions = {
	readonly clock: () => number;
	readonly fleet: Pick<FleetView, 'offerOf'>;
};

/** Timers of the waiting requests: merges events that come shortly after each other, and wakes requests that are due. */
export class WaitQueue {
	static create(options: WaitQueueOptions): WaitQueue {
		return new WaitQueue(options);
	}

	/** Callers that were refused and are to come back. */
	readonly refused = RefusedCallers.create();
	private readonly _waiting = WaitingRequests.create<Waiter>();
	/** Servers that were reported, or ended a request, since the last wake-up. */
	private readonly _servers = new Set<string>();
	/** Requests that were added behind others since then. */
	private readonly _arrivals = new Set<Waiter>();
	private _haveServersChanged = false;
	private _havePermissionsChanged = false;
	private _timer: NodeJS.Timeout | undefined;
	private _immediate: NodeJS.Immediate | undefined;
	private _dueTimer: NodeJS.Timeout | undefined;
	private _dueAt = Number.POSITIVE_INFINITY;

	private constructor(private readonly _options: WaitQueueOptions) {}

	get size(): number {
		return this._waiting.size;
	}

	/** Number of requests that wait for the adapter. */
	countFor(adapter: string): number {
		return this._waiting.countFor(adapter);
	}

	/** Returns what a new request has to wait for, since others that wait for the same come first. Undefined without any. */
	causeAhead(
		request: Parameters<WaitingRequests<Waiter>['causeAhead']>[0],
	): 'awaitAdapter' | 'full' | undefined {
		return this._waiting.causeAhead(request);
	}

	add(waiter: Waiter): void {
		this._waiting.add(waiter, this._options.clock());
		this._schedule();
	}

	/** Adds a request that has not looked for a server, as others wait for the same. Those that may go first are tried at once. */
	addBehind(waiter: Waiter): void {
		this.add(waiter);
		this._arrivals.add(waiter);
		this._wakeSoon();
	}

	/** Removes a request and returns whether it was in the queue. */
	remove(waiter: Waiter): boolean {
		this._arrivals.delete(waiter);
		return this._waiting.remove(waiter);
	}

	/** Charges the customer of a request that was sent without waiting. */
	noteSent(customer: string, tokens: number): void {
		this._waiting.noteSent(customer, tokens);
	}

	/** Tries the request, and those that wait for the same, at a time. */
	wakeAt(waiter: Waiter, at: number): void {
		this._waiting.wakeAt(waiter, at);
		this._schedule();
	}

	/** Wakes the requests that a server may help which has reported, after a short delay that merges several reports. */
	wakeForReport(server: string): void {
		if (this.size > 0) {
			this._servers.add(server);
			this._wakeLater();
		}
	}

	/** Wakes the requests that a server may help at which a request has ended. */
	wakeForEnd(server: string): void {
		if (this.size > 0) {
			this._servers.add(server);
			this._wakeSoon();
		}
	}

	/** Wakes the first requests for each service and adapter, as servers were listed or left. */
	wakeForServers(): void {
		if (this.size > 0) {
			this._haveServersChanged = true;
			this._wakeLater();
		}
	}

	/** Tries all requests, as their permissions may have changed. */
	wakeForPermissions(): void {
		if (this.size > 0) {
			this._havePermissionsChanged = true;
			this._wakeLater();
		}
	}

	private _wakeLater(): void {
		this._timer ??= setTimeout(() => {
			this._wake();
		}, wakeIntervalMs);
	}

	private _wakeSoon(): void {
		this._immediate ??= setImmediate(() => {
			this._wake();
		});
	}

	/** Handles all events so far, so that timers of both kinds are done with. */
	private _wake(): void {
		clearTimeout(this._timer);
		clearImmediate(this._immediate);
		this._timer = undefined;
		this._immediate = undefined;
		const now = this._options.clock();
		const retry = (waiter: Waiter) => waiter.retry();
		const servers = [...this._servers];
		const arrivals = [...this._arrivals];
		this._servers.clear();
		this._arrivals.clear();
		if (this._havePermissionsChanged) {
			this._havePermissionsChanged = false;
			this._haveServersChanged = false;
			this._waiting.wakeEach(retry, now);
		} else if (this._haveServersChanged) {
			this._haveServersChanged = false;
			this._waiting.wake({kind: 'all'}, retry, now);
		}

		for (const server of servers) {
			const offer = this._options.fleet.offerOf(server, now);
			if (offer !== undefined) {
				this._waiting.wake({kind: 'offer', offer}, retry, now);
			}
		}

		if (arrivals.length > 0) {
			this._waiting.wake({kind: 'arrivals', requests: arrivals}, retry, now);
		}

		this._schedule();
	}

	/** Sets the timer for the next requests that are due. */
	private _schedule(): void {
		const dueAt = this._waiting.nextDueAt() ?? Number.POSITIVE_INFINITY;
		if (dueAt >= this._dueAt) {
			return;
		}

		clearTimeout(this._dueTimer);
		this._dueAt = dueAt;
		const now = this._options.clock();
		this._dueTimer = setTimeout(
			() => {
				this._dueAt = Number.POSITIVE_INFINITY;
				this._waiting.wake(
					{kind: 'due'},
					waiter => waiter.retry(),
					this._options.clock(),
				);
				this._schedule();
			},
			Math.max(1, Math.ceil(dueAt - now)),
		);
	}
}
