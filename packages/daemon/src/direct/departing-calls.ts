import {chooseMoves, departureCheckMs, type FleetView} from '@balsamtray/core';
import type {Disposable} from '../common/types.js';

/**
 * Interval at which adapters are wanted for requests that will move, and at which those are tried again that no server took,
 * in milliseconds: half of the lifetime of a want.
 */
const prepareIntervalMs = 250;

/** A request at a server that may be repeated or resumed elsewhere. */
export type DepartingCall = {
	readonly server: string;
	readonly service: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time, in milliseconds. */
	readonly deadlineAt: number;
	/**
	 * Moves the request to another server if that is due and one takes it. It stays otherwise. What it needs there is loaded,
	 * due or not.
	 */
	readonly move: (isDue: boolean) => void;
};

export type DepartingCallsOptions = {
	readonly clock: () => number;
	readonly fleet: Pick<
		FleetView,
		'hasDepartures' | 'departsInMs' | 'moveSpacingMs'
	>;
};

/** Moves requests away from servers that are taken away before they end. */
export class DepartingCalls {
	static create(options: DepartingCallsOptions): DepartingCalls {
		return new DepartingCalls(options);
	}

	private readonly _calls = new Set<DepartingCall>();
	private readonly _triedAt = new WeakMap<DepartingCall, number>();
	private _preparedAt = Number.NEGATIVE_INFINITY;
	private _timer: NodeJS.Timeout | undefined;

	private constructor(private readonly _options: DepartingCallsOptions) {}

	/** Adds a request until it leaves its server, when the caller disposes of the entry. */
	add(call: DepartingCall): Disposable {
		this._calls.add(call);
		this._timer ??= setInterval(() => {
			this._check();
		}, departureCheckMs);
		return {
			dispose: () => {
				this._calls.delete(call);
				if (this._calls.size === 0) {
					clearInterval(this._timer);
					this._timer = undefined;
				}
			},
		};
	}

	private _check(): void {
		const {clock, fleet} = this._options;
		if (!fleet.hasDepartures) {
			return;
		}

		const now = clock();
		const departing = this._departing(now);
		const isPreparing = now - this._preparedAt >= prepareIntervalMs;
		this._preparedAt = isPreparing ? now : this._preparedAt;
		for (const service of new Set(departing.map(({call}) => call.service))) {
			const calls = departing.filter(({call}) => call.service === service);
			const due = chooseMoves(calls, fleet.moveSpacingMs(service, now));
			for (const {call} of due) {
				this._tryMove(call, now);
			}

			const early = calls.filter(call => isPreparing && !due.includes(call));
			for (const {call} of early) {
				call.move(false);
			}
		}
	}

	private _tryMove(call: DepartingCall, now: number): void {
		const triedAt = this._triedAt.get(call) ?? Number.NEGATIVE_INFINITY;
		if (now - triedAt >= prepareIntervalMs) {
			this._triedAt.set(call, now);
			call.move(true);
		}
	}

	/** Requests at servers that are taken away before they end. */
	private _departing(now: number) {
		const {fleet} = this._options;
		const expectedMs = Number.POSITIVE_INFINITY;
		return [...this._calls].flatMap(call => {
			const {server, priority, deadlineAt} = call;
			const leftMs = fleet.departsInMs(server, now);
			// The deadline is the only end that is known.
			return leftMs === undefined || deadlineAt - now <= leftMs
				? []
				: [{call, leftMs, expectedMs, priority, deadlineAt}];
		});
	}
}
