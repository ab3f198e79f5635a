import {AdapterSlots, type Slot} from './adapter-slots.js';
import type {AgentPolicy} from './agent-policy.js';
import {
	customerLoadHalfLifeMs,
	loadFailureBackoffMs,
	loadFailuresUntilRefusal,
	unloadRetryMs,
} from './constants.js';
import {DecayingCounts} from './decaying-counts.js';
import type {LoadLimiter} from './load-limiter.js';
import type {AgentCommand, AgentLimits, AgentSettings} from './types.js';

/** An adapter version that waiting requests need. */
export type WantedAdapter = {
	readonly servedName: string;
	readonly weights: string;
	/** Customer of the first request that waits for it. */
	readonly customer: string;
	/** Weight of that customer. */
	readonly share: number;
	/** Number of requests that wait for it. */
	readonly waiters: number;
};

/** Loads of a customer are paced if its recent loads reach this fraction of the largest customer's recent loads. */
const pacingThreshold = 0.75;

type LoadFailures = {
	readonly count: number;
	readonly lastAt: number;
};

/** Plans loads and unloads for waiting requests and tracks the adapter slots. */
export class AdapterLoader {
	static create(settings: AgentSettings, policy: AgentPolicy): AdapterLoader {
		return new AdapterLoader(settings.limits, settings.incarnation, policy);
	}

	readonly slots: AdapterSlots;

	private readonly _limiter: LoadLimiter;
	private readonly _useCounts = DecayingCounts.create();
	private readonly _customerLoadCounts = DecayingCounts.create(
		customerLoadHalfLifeMs,
	);

	/** Start times of loads in flight by load ID. */
	private readonly _startedAt = new Map<string, number>();
	private readonly _failures = new Map<string, LoadFailures>();
	/** Retry times of failed unloads by operation ID. */
	private readonly _unloadRetries = new Map<string, number>();
	private _operationCount = 0;
	private _lastUnloadAt = Number.NEGATIVE_INFINITY;
	private _wakeAt: number | undefined;

	private constructor(
		private readonly _limits: AgentLimits,
		private readonly _incarnation: string,
		private readonly _policy: AgentPolicy,
	) {
		this.slots = AdapterSlots.create(_limits.adapterSlots);
		this._limiter = _policy.createLoadLimiter();
	}

	/** Time at which the next paced load or unload retry is due, or undefined if none is pending. */
	get wakeAt(): number | undefined {
		return this._wakeAt;
	}

	/** Expected time in milliseconds until an adapter version is resident if `loadsBefore` others load first. */
	expectedLoadMs(loadsBefore: number, now: number): number {
		return this._limiter.expectedLoadMs(loadsBefore, now);
	}

	/** Remaining load backoff of an adapter version in milliseconds, 0 if it may be loaded. */
	remainingBackoffMs(servedName: string, now: number): number {
		const failures = this._failures.get(servedName);
		if (!failures || failures.count < loadFailuresUntilRefusal) {
			return 0;
		}

		return Math.max(0, failures.lastAt + loadFailureBackoffMs - now);
	}

	/** Marks an adapter version as used by one more running request. */
	acquire(servedName: string, now: number): Slot {
		this._useCounts.add(servedName, now);
		return this.slots.acquire(servedName, now);
	}

	/** Sorts the wanted adapter versions into the policy's load order. */
	inLoadOrder(
		wanted: readonly WantedAdapter[],
		now: number,
	): readonly WantedAdapter[] {
		return this._policy.orderLoads(wanted, customer =>
			this._customerLoadCounts.recent(customer, now),
		);
	}

	/** Returns the loads and unloads that are due for the wanted adapter versions, given in queue order. */
	plan(
		wanted: readonly WantedAdapter[],
		hasWaiters: (servedName: string) => boolean,
		now: number,
	): readonly AgentCommand[] {
		this._wakeAt = undefined;
		const commands = [...this._retryUnloads(now)];
		let pendingUnloads = this.slots.unloading;
		for (const adapter of this.inLoadOrder(wanted, now)) {
			if (this.slots.has(adapter.servedName)) {
				continue;
			}

			if (!this._canStartLoad(adapter, now)) {
				break;
			}

			if (this.slots.free > 0) {
				commands.push(this._load(adapter, now));
			} else if (pendingUnloads > 0) {
				pendingUnloads--;
			} else {
				const unload = this._evict(hasWaiters, now);
				if (!unload) {
					break;
				}

				commands.push(unload);
			}
		}

		return commands;
	}

	/** Cancels the wake-up time while no operations are planned. */
	pause(): void {
		this._wakeAt = undefined;
	}

	onLoadCompleted(loadId: string, now: number): void {
		const slot = this.slots.completeLoad(loadId, now);
		if (slot) {
			this._limiter.onCompleted(now - this._takeStartTime(loadId, now), now);
			this._failures.delete(slot.servedName);
		}
	}

	/** Returns the adapter version whose load failed, with an unload command in case the load still takes effect. */
	onLoadFailed(
		loadId: string,
		now: number,
	): {readonly servedName: string; readonly command: AgentCommand} | undefined {
		const operationId = this._nextOperationId();
		const slot = this.slots.failLoad(loadId, operationId);
		if (!slot) {
			return undefined;
		}

		this._takeStartTime(loadId, now);
		this._limiter.onFailed(now);
		this._recordFailure(slot.servedName, now);
		return {
			servedName: slot.servedName,
			command: unloadCommand(operationId, slot.servedName),
		};
	}

	onUnloadCompleted(operationId: string, now: number): void {
		if (this.slots.completeUnload(operationId)) {
			this._lastUnloadAt = now;
		}

		this._unloadRetries.delete(operationId);
	}

	onUnloadFailed(operationId: string, now: number): void {
		if (this.slots.findUnload(operationId)) {
			this._unloadRetries.set(operationId, now + unloadRetryMs);
		}
	}

	/** Clears the load failures, since they don't apply to the new boot of the backend server. */
	onRestart(): void {
		this._failures.clear();
	}

	/** Reconciles the slots with the adapter versions that the backend server reported when asked at `askedAt`. */
	reconcile(loadedAdapters: readonly string[], askedAt: number): void {
		const loaded = new Set(loadedAdapters);
		for (const {servedName, state, loadedAt} of this.slots.all()) {
			if (loaded.has(servedName)) {
				this.slots.markPresent(servedName);
			} else if (state === 'resident' && loadedAt < askedAt) {
				this.slots.markMissing(servedName);
			}
		}

		if (askedAt <= this._lastUnloadAt) {
			return;
		}

		for (const servedName of loaded) {
			if (!this.slots.has(servedName)) {
				this.slots.adopt(servedName, askedAt);
			}
		}
	}

	private _canStartLoad({customer}: WantedAdapter, now: number): boolean {
		const startAt = this._limiter.nextStartAt(this.slots.loading);
		if (startAt === undefined) {
			return false;
		}

		if (startAt > now) {
			// Customers with few loads are not paced: pacing the others keeps the weight store free for them.
			if (this.slots.loading === 0 && this._hasFewLoads(customer, now)) {
				return true;
			}

			this._wakeNoLaterThan(startAt);
			return false;
		}

		return true;
	}

	private _hasFewLoads(customer: string, now: number): boolean {
		const own = this._customerLoadCounts.recent(customer, now);
		return own < pacingThreshold * this._customerLoadCounts.largest(now);
	}

	private _load({servedName, weights, customer}: WantedAdapter, now: number) {
		const loadId = this._nextOperationId();
		this._customerLoadCounts.add(customer, now);
		this.slots.beginLoad(servedName, loadId, now);
		this._limiter.onStarted(now);
		this._startedAt.set(loadId, now);
		const {loadTimeoutMs: timeoutMs} = this._limits;
		return {
			type: 'loadAdapter',
			loadId,
			servedName,
			weights,
			timeoutMs,
		} as const;
	}

	private _evict(
		hasWaiters: (servedName: string) => boolean,
		now: number,
	): AgentCommand | undefined {
		const idle = this.slots
			.idle()
			.filter(({servedName}) => !hasWaiters(servedName));
		if (idle.length === 0) {
			return undefined;
		}

		const {servedName} = this._policy.pickVictim(idle, name =>
			this._useCounts.recent(name, now),
		);
		const operationId = this._nextOperationId();
		this.slots.beginUnload(servedName, operationId);
		return unloadCommand(operationId, servedName);
	}

	private _retryUnloads(now: number): readonly AgentCommand[] {
		const commands: AgentCommand[] = [];
		for (const [operationId, retryAt] of this._unloadRetries) {
			const slot = this.slots.findUnload(operationId);
			if (!slot) {
				this._unloadRetries.delete(operationId);
			} else if (retryAt <= now) {
				this._unloadRetries.delete(operationId);
				commands.push(unloadCommand(operationId, slot.servedName));
			} else {
				this._wakeNoLaterThan(retryAt);
			}
		}

		return commands;
	}

	private _recordFailure(servedName: string, now: number): void {
		for (const [name, {lastAt}] of this._failures) {
			if (lastAt + loadFailureBackoffMs < now) {
				this._failures.delete(name);
			}
		}

		const count = (this._failures.get(servedName)?.count ?? 0) + 1;
		this._failures.set(servedName, {count, lastAt: now});
	}

	private _takeStartTime(loadId: string, now: number): number {
		const startedAt = this._startedAt.get(loadId) ?? now;
		this._startedAt.delete(loadId);
		return startedAt;
	}

	private _nextOperationId(): string {
		this._operationCount++;
		return `${this._incarnation}-${this._operationCount}`;
	}

	private _wakeNoLaterThan(at: number): void {
		this._wakeAt = Math.min(this._wakeAt ?? at, at);
	}
}

function unloadCommand(loadId: string, servedName: string): AgentCommand {
	return {type: 'unloadAdapter', loadId, servedName};
}
