import {wakeIntervalMs} from './constants.js';
import {KeyCounts} from './key-counts.js';

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
	private readonly _byAdapter = KeyCounts.create();
	private _timer: NodeJS.Timeout | undefined;

	private constructor() {}

	get size(): number {
		return this._waiters.size;
	}

	/** Requests that wait for the adapter. */
	waitingFor(adapter: string): number {
		return this._byAdapter.count(adapter);
	}

	add(waiter: Waiter): void {
		this._waiters.add(waiter);
		this._byAdapter.add(waiter.adapter);
	}

	/** Returns whether the request still waited. */
	remove(waiter: Waiter): boolean {
		const hasWaited = this._waiters.delete(waiter);
		if (hasWaited) {
			this._byAdapter.remove(waiter.adapter);
		}

		return hasWaited;
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
			if (this.remove(waiter)) {
				waiter.retry();
			}
		}
	}
}
