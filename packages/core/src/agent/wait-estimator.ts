import type {AdapterLoader, WantedAdapter} from './adapter-loader.js';
import type {ConcurrencyWindow} from './concurrency-window.js';
import type {QueuedRequest, RequestQueue} from './request-queue.js';
import type {RunningRequests} from './running-requests.js';
import type {ServiceTimes} from './service-times.js';
import type {Dispatch} from './types.js';
import type {WaitingRequests} from './waiting-requests.js';

/** Maximum number of customers whose waits an agent reports. */
const maxReportedCustomers = 16;

/** Options of `WaitEstimator.create`. */
export type WaitEstimatorOptions = {
	readonly times: ServiceTimes;
	readonly queue: RequestQueue;
	readonly waiting: WaitingRequests;
	readonly running: RunningRequests;
	readonly window: ConcurrencyWindow;
	readonly loader: AdapterLoader;
};

/** A waiting request that can't start before its deadline, and the delay after which a retry could start. */
export type InfeasibleRequest = {
	readonly request: QueuedRequest;
	readonly retryAfterMs: number;
};

/** Estimates how long requests wait in the queue and for their adapter versions. */
export class WaitEstimator {
	static create(options: WaitEstimatorOptions): WaitEstimator {
		return new WaitEstimator(options);
	}

	private constructor(private readonly _options: WaitEstimatorOptions) {}

	/** Whether enough requests have completed to base refusals on estimates. */
	get isReliable(): boolean {
		return this._options.times.isReliable;
	}

	/** Expected time in milliseconds until a new request starts. */
	timeToStartMs({dispatch, servedName}: QueuedRequest, now: number): number {
		const {customer, weight} = dispatch;
		const tokens = this._options.queue.tokensAhead(customer, weight);
		const queueMs = this._msUntilFree(tokens);
		return servedName === undefined
			? queueMs
			: Math.max(queueMs, this._loadMs(servedName, dispatch, now));
	}

	/** Expected time in milliseconds until a request queued behind all waiting ones starts. */
	drainMs(): number {
		return this._msUntilFree(this._options.waiting.tokens);
	}

	/** Expected time in milliseconds until a new request starts, for a customer without waiting requests. */
	idleCustomerMs(): number {
		return this._msUntilFree(this._options.queue.tokensAhead('', 1));
	}

	/** Expected times in milliseconds until a new request starts, for the customers with the longest waits. */
	customerWaitsMs(): ReadonlyMap<string, number> {
		const {queue} = this._options;
		const waits = [...queue.waitingCustomers()].map(
			([customer, weight]) =>
				[
					customer,
					Math.ceil(this._msUntilFree(queue.tokensAhead(customer, weight))),
				] as const,
		);
		const longest = waits.toSorted(([, a], [, b]) => b - a);
		return new Map(longest.slice(0, maxReportedCustomers));
	}

	/** Simulates the queue in order and returns the requests that would not start before their deadlines. */
	findInfeasible(now: number): readonly InfeasibleRequest[] {
		const {times, window, waiting} = this._options;
		const infeasible: InfeasibleRequest[] = [];
		const {loader} = this._options;
		const loadPositions = loadPositionsOf(
			loader.inLoadOrder(this._absentAdapters(), now),
		);
		let tokensAhead = 0;
		for (const request of waiting.inOrder()) {
			const {servedName, cost, deadlineAt} = request;
			const queueMs = times.processingMs(tokensAhead, window.capacity());
			const position = loadPositions.get(servedName ?? '');
			const loadMs =
				position === undefined ? 0 : loader.expectedLoadMs(position, now);
			const waitMs = times.isReliable ? Math.max(queueMs, loadMs) : 0;
			if (now + waitMs >= deadlineAt) {
				infeasible.push({request, retryAfterMs: waitMs});
				continue;
			}

			tokensAhead += cost;
		}

		return infeasible;
	}

	private _msUntilFree(tokensAhead: number): number {
		const {times, running, waiting, window} = this._options;
		const capacity = window.capacity();
		const isFree = running.size < capacity && tokensAhead === 0;
		if (isFree) {
			return 0;
		}

		const completionIntervalMs = times.requestMs / capacity;
		const queueMs = times.processingMs(tokensAhead, capacity);
		// Before the averages are reliable, costs assume `maxTokens`, so the number of waiting requests caps the estimate.
		return times.isReliable
			? queueMs + completionIntervalMs
			: Math.min(queueMs, waiting.size * completionIntervalMs) +
					completionIntervalMs;
	}

	/** Expected time in milliseconds until the adapter version of a new request is resident. */
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
			? this._absentAdapters()
			: [
					...this._absentAdapters(),
					{servedName, weights: '', customer, share, waiters: 1},
				];
		const loadPositions = loadPositionsOf(loader.inLoadOrder(wanted, now));
		return loader.expectedLoadMs(loadPositions.get(servedName) ?? 0, now);
	}

	/** Returns the adapter versions that waiting requests need and that are neither resident nor loading. */
	private _absentAdapters(): readonly WantedAdapter[] {
		const {loader, waiting} = this._options;
		return waiting
			.wantedAdapters()
			.filter(({servedName}) => loader.slots.stateOf(servedName) === 'absent');
	}
}

/** Maps each adapter version to the number of loads before its own. */
function loadPositionsOf(
	inOrder: readonly WantedAdapter[],
): ReadonlyMap<string, number> {
	return new Map(inOrder.map(({servedName}, i) => [servedName, i]));
}
