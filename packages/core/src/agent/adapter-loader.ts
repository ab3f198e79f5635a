import type {AgentPolicy} from './agent-policy.js';
import {AdapterSlots, type Slot} from './adapter-slots.js';
import {
	customerLoadHalfLifeMs,
	loadFailureBackoffMs,
	loadTriesBeforeRefusal,
	unloadRetryMs,
} from './constants.js';
import type {LoadLimiter} from './load-limiter.js';
import type {AgentCommand, AgentLimits, AgentSettings} from './types.js';
import {DecayingCounts} from './decaying-counts.js';

/** An adapter version that waiting requests need. */
export type WantedAdapter = {
	readonly servedName: string;
	readonly weights: string;
	/** Customer of the first request that waits for it, and its share. */
	readonly customer: string;
	readonly share: number;
	/** Requests that wait for it. */
	readonly waiters: number;
};

/** Part of the heaviest customer's recent loads from which on a customer's loads are paced. */
const pacedShare = 0.75;

type LoadFailures = {
	readonly count: number;
	readonly lastAt: number;
};

/** Orders loads and unloads for waiting requests and keeps account of the slots. */
export class AdapterLoader {
	static create(settings: AgentSettings, policy: AgentPolicy): AdapterLoader {
		return new AdapterLoader(settings.limits, settings.incarnation, policy);
	}

	readonly slots: AdapterSlots;

	private readonly _limiter: LoadLimiter;
	private readonly _uses = DecayingCounts.create();
	private readonly _customerLoads = DecayingCounts.create(
		customerLoadHalfLifeMs,
	);

	private readonly _startedAt = new Map<string, number>();
	private readonly _failures = new Map<string, LoadFailures>();
	private readonly _unloadRetries = new Map<string, number>();
	private _orders = 0;
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

	/** Time at which a load or a repeated unload may be ordered, if one waits for its time. */
	get wakeAt(): number | undefined {
		return this._wakeAt;
	}

	/** Expected time until an adapter version is resident that comes after so many others. */
	expectedLoadMs(loadsBefore: number, now: number): number {
		return this._limiter.expectedLoadMs(loadsBefore, now);
	}

	/** Milliseconds for which an adapter version whose loads failed is not tried again. */
	failingForMs(servedName: string, now: number): number {
		const failures = this._failures.get(servedName);
		if (!failures || failures.count < loadTriesBeforeRefusal) {
			return 0;
		}

		return Math.max(0, failures.lastAt + loadFailureBackoffMs - now);
	}

	/** A request starts to run on an adapter version. */
	acquire(servedName: string, now: number): Slot {
		this._uses.add(servedName, now);
		return this.slots.acquire(servedName, now);
	}

	/** The wanted adapter versions by which is loaded first. */
	inOrder(
		wanted: readonly WantedAdapter[],
		now: number,
	): readonly WantedAdapter[] {
		return this._policy.orderLoads(wanted, customer =>
			this._customerLoads.recent(customer, now),
		);
	}

	/** Orders what the wanted adapter versions need. They come in the order of the requests that wait for them. */
	plan(
		wanted: readonly WantedAdapter[],
		hasWaiters: (servedName: string) => boolean,
		now: number,
	): readonly AgentCommand[] {
		this._wakeAt = undefined;
		const commands = [...this._retryUnloads(now)];
		let freeing = this.slots.unloading;
		for (const adapter of this.inOrder(wanted, now)) {
			if (this.slots.has(adapter.servedName)) {
				continue;
			}

			if (!this._mayStartLoad(adapter, now)) {
				break;
			}

			if (this.slots.free > 0) {
				commands.push(this._load(adapter, now));
			} else if (freeing > 0) {
				freeing--;
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

	/** No orders are given for now. */
	pause(): void {
		this._wakeAt = undefined;
	}

	onLoadCompleted(loadId: string, now: number): void {
		const slot = this.slots.completeLoad(loadId, now);
		if (slot) {
			this._limiter.onCompleted(now - this._takeStart(loadId, now), now);
			this._failures.delete(slot.servedName);
		}
	}

	/** Returns the adapter version whose load failed, with the order that makes sure of its absence. */
	onLoadFailed(
		loadId: string,
		now: number,
	): {readonly servedName: string; readonly command: AgentCommand} | undefined {
		const unloadId = this._nextOrderId();
		const slot = this.slots.failLoad(loadId, unloadId);
		if (!slot) {
			return undefined;
		}

		this._takeStart(loadId, now);
		this._limiter.onFailed(now);
		this._noteFailure(slot.servedName, now);
		return {
			servedName: slot.servedName,
			command: unloadCommand(unloadId, slot.servedName),
		};
	}

	onUnloadCompleted(orderId: string, now: number): void {
		if (this.slots.completeUnload(orderId)) {
			this._lastUnloadAt = now;
		}

		this._unloadRetries.delete(orderId);
	}

	onUnloadFailed(orderId: string, now: number): void {
		if (this.slots.findUnload(orderId)) {
			this._unloadRetries.set(orderId, now + unloadRetryMs);
		}
	}

	/** The backend server started anew: earlier failures say nothing any more. */
	onRestart(): void {
		this._failures.clear();
	}

	/** Brings the account in line with what the backend server said that it holds when asked. */
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

	private _mayStartLoad({customer}: WantedAdapter, now: number): boolean {
		const startAt = this._limiter.nextStartAt(this.slots.loading);
		if (startAt === undefined) {
			return false;
		}

		if (startAt > now) {
			// Customers with few loads are not paced: the pace keeps the weight store free for them.
			if (this.slots.loading === 0 && this._hasFewLoads(customer, now)) {
				return true;
			}

			this._wakeBy(startAt);
			return false;
		}

		return true;
	}

	private _hasFewLoads(customer: string, now: number): boolean {
		const own = this._customerLoads.recent(customer, now);
		return own < pacedShare * this._customerLoads.most(now);
	}

	private _load({servedName, weights, customer}: WantedAdapter, now: number) {
		const loadId = this._nextOrderId();
		this._customerLoads.add(customer, now);
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
			this._uses.recent(name, now),
		);
		const orderId = this._nextOrderId();
		this.slots.beginUnload(servedName, orderId);
		return unloadCommand(orderId, servedName);
	}

	private _retryUnloads(now: number): readonly AgentCommand[] {
		const commands: AgentCommand[] = [];
		for (const [orderId, retryAt] of this._unloadRetries) {
			const slot = this.slots.findUnload(orderId);
			if (!slot) {
				this._unloadRetries.delete(orderId);
			} else if (retryAt <= now) {
				this._unloadRetries.delete(orderId);
				commands.push(unloadCommand(orderId, slot.servedName));
			} else {
				this._wakeBy(retryAt);
			}
		}

		return commands;
	}

	private _noteFailure(servedName: string, now: number): void {
		for (const [name, {lastAt}] of this._failures) {
			if (lastAt + loadFailureBackoffMs < now) {
				this._failures.delete(name);
			}
		}

		const count = (this._failures.get(servedName)?.count ?? 0) + 1;
		this._failures.set(servedName, {count, lastAt: now});
	}

	private _takeStart(loadId: string, now: number): number {
		const startedAt = this._startedAt.get(loadId) ?? now;
		this._startedAt.delete(loadId);
		return startedAt;
	}

	private _nextOrderId(): string {
		this._orders++;
		return `${this._incarnation}-${this._orders}`;
	}

	private _wakeBy(at: number): void {
		this._wakeAt = Math.min(this._wakeAt ?? at, at);
	}
}

function unloadCommand(loadId: string, servedName: string): AgentCommand {
	return {type: 'unloadAdapter', loadId, servedName};
}
