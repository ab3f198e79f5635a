import {wakeIntervalMs} from './constants.js';

/** A request that waits for a server or an adapter. */
export type Waiter = {
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly arrivedAt: number;
	/** Adapter that the request waits for, by `adapterKey`. */
	readonly adapter: string | undefined;
	/** Tries again to find a server. */
	readonly retry: () => void;
};

/** Requests that wait, tried again in the order of priority and arrival whenever something changed. */
export class WaitingLine {
	static create(): WaitingLine {
		return new WaitingLine();
	}

	private readonly _waiters = new Set<Waiter>();
	private _timer: NodeJS.Timeout | undefined;

	private constructor() {}

	get size(): number {
		return this._waiters.size;
	}

	/** Requests that wait for the adapter. */
	waitingFor(adapter: string): number {
		let count = 0;
		for (const waiter of this._waiters) {
			count += waiter.adapter === adapter ? 1 : 0;
		}

		return count;
	}

	add(waiter: Waiter): void {
		this._waiters.add(waiter);
	}

	remove(waiter: Waiter): void {
		this._waiters.delete(waiter);
	}

	/** Tries all again soon. Changes that come together share one round. */
	wake(): void {
		if (this._timer === undefined && this._waiters.size > 0) {
			this._timer = setTimeout(() => {
				this._timer = undefined;
				this._round();
			}, wakeIntervalMs);
		}
	}

	private _round(): void {
		const ordered = [...this._waiters].toSorted(
			(a, b) => a.priority - b.priority || a.arrivedAt - b.arrivedAt,
		);
		for (const waiter of ordered) {
			if (this._waiters.delete(waiter)) {
				waiter.retry();
			}
		}
	}
}
