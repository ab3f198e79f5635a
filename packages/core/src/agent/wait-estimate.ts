import type {AdapterLoader, WantedAdapter} from './adapter-loader.js';
import type {ConcurrencyWindow} from './concurrency-window.js';
import type {QueuedRequest, RequestQueue} from './request-queue.js';
import type {RunningRequests} from './running-requests.js';
import type {ServiceTimes} from './service-times.js';
import type {Dispatch} from './types.js';
import type {WaitingRequests} from './waiting-requests.js';

/** Customers whose waits an agent reports at most. */
const reportedCustomers = 16;

/** What the estimates are made from. */
export type WaitEstimateOptions = {
	readonly times: ServiceTimes;
	readonly queue: RequestQueue;
	readonly waiting: WaitingRequests;
	readonly running: RunningRequests;
	readonly window: ConcurrencyWindow;
	readonly loader: AdapterLoader;
};

/** A waiting request that can't make its deadline, and the time after which a new try could. */
export type HopelessRequest = {
	readonly request: QueuedRequest;
	readonly retryAfterMs: number;
};

/** Estimates how long requests wait for their turn and for their adapter versions. */
export class WaitEstimate {
	static create(options: WaitEstimateOptions): WaitEstimate {
		return new WaitEstimate(options);
	}

	private constructor(private readonly _options: WaitEstimateOptions) {}

	/** Whether enough was measured to refuse by an estimate. */
	get isReliable(): boolean {
		return this._options.times.isReliable;
	}

	/** Expected time until a new request starts. */
	startMs({dispatch, servedName}: QueuedRequest, now: number): number {
		const {customer, weight} = dispatch;
		const tokens = this._options.queue.tokensAhead(customer, weight);
		const queueMs = this._msUntilFree(tokens);
		return servedName === undefined
			? queueMs
			: Math.max(queueMs, this._loadMs(servedName, dispatch, now));
	}

	/** Expected time until a request starts that comes after all that wait. */
	drainMs(): number {
		return this._msUntilFree(this._options.waiting.tokens);
	}

	/** Expected time until a new request starts of a customer that has nothing waiting. */
	lightMs(): number {
		return this._msUntilFree(this._options.queue.tokensAhead('', 1));
	}

	/** Expected times until new requests of the customers start that have work waiting, the longest ones. */
	customersMs(): ReadonlyMap<string, number> {
		const {queue} = this._options;
		const waits = [...queue.waitingCustomers()].map(
			([customer, weight]) =>
				[
					customer,
					Math.ceil(this._msUntilFree(queue.tokensAhead(customer, weight))),
				] as const,
		);
		const longest = waits.toSorted(([, a], [, b]) => b - a);
		return new Map(longest.slice(0, reportedCustomers));
	}

	/** Walks through the waiting requests as they would run and finds those whose turn comes too late. */
	findHopeless(now: number): readonly HopelessRequest[] {
		const {times, window, waiting} = this._options;
		const hopeless: HopelessRequest[] = [];
		const {loader} = this._options;
		const places = placesOf(loader.inOrder(this._absent(), now));
		let tokensAhead = 0;
		for (const request of waiting.inOrder()) {
			const {servedName, cost, deadlineAt} = request;
			const queueMs = times.msFor(tokensAhead, window.capacity());
			const place = places.get(servedName ?? '');
			const loadMs =
				place === undefined ? 0 : loader.expectedLoadMs(place, now);
			const waitMs = times.isReliable ? Math.max(queueMs, loadMs) : 0;
			if (now + waitMs >= deadlineAt) {
				hopeless.push({request, retryAfterMs: waitMs});
				continue;
			}

			tokensAhead += cost;
		}

		return hopeless;
	}

	private _msUntilFree(tokensAhead: number): number {
		const {times, running, waiting, window} = this._options;
		const capacity = window.capacity();
		const isFree = running.size < capacity && tokensAhead === 0;
		if (isFree) {
			return 0;
		}

		const turnMs = times.requestMs / capacity;
		const queueMs = times.msFor(tokensAhead, capacity);
		// Until answers were measured, requests count with the most tokens that they may have.
		return times.isReliable
			? queueMs + turnMs
			: Math.min(queueMs, waiting.size * turnMs) + turnMs;
	}

	/** Expected time until an adapter version is resident that a new request needs. */
	private _loadMs(
		servedName: string,
		{customer, weight: share}: Dispatch,
		now: number,
	): number {
		const {loader, waiting} = this._options;
		const state = loader.slots.stateOf(servedName);
		if (state === 'resident') {
			return 0;
		}

		if (state !== 'absent') {
			return loader.expectedLoadMs(0, now);
		}

		const wanted = waiting.hasWaiters(servedName)
			? this._absent()
			: [
					...this._absent(),
					{servedName, weights: '', customer, share, waiters: 1},
				];
		const places = placesOf(loader.inOrder(wanted, now));
		return loader.expectedLoadMs(places.get(servedName) ?? 0, now);
	}

	/** Adapter versions that waiting requests need and that are not loading yet. */
	private _absent(): readonly WantedAdapter[] {
		const {loader, waiting} = this._options;
		return waiting
			.wantedAdapters()
			.filter(({servedName}) => loader.slots.stateOf(servedName) === 'absent');
	}
}

/** Loads that come before that of each adapter version. */
function placesOf(
	inOrder: readonly WantedAdapter[],
): ReadonlyMap<string, number> {
	return new Map(inOrder.map(({servedName}, i) => [servedName, i]));
}
