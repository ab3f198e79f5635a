import {adapterKey} from '../authority/authority-view.js';
import {maxPendingAdapters} from '../placement/constants.js';
import type {
	AdapterWant,
	EngineReport,
	PrefillSample,
} from '../placement/types.js';
import {
	acceptedLoadTimeoutMs,
	unresolvedOrderLifetimeMs,
	minEvictionIdleMs,
	refusedUnloadPauseMs,
	cachedAdaptersPerPlace,
} from './constants.js';
import {LoadLimit} from './load-limit.js';
import {WantQueue} from './want-queue.js';

/** An order to an engine. The engine accepts it only while its count of accepted orders matches. */
export type EngineOrder = {
	readonly operation: 'load' | 'unload';
	readonly model: string;
	/** Undefined for an order that loads or unloads the base model. */
	readonly adapter: string | undefined;
	/** Version to load; undefined for the newest. */
	readonly version: number | undefined;
	/** Number of orders that the engine must have accepted so far. Otherwise it rejects this order. */
	readonly expectedSequence: number;
};

/** Result of an order. */
export type OrderOutcome =
	| 'accepted'
	| 'alreadyHolds'
	| 'refused'
	/** No answer: the order may have taken effect, or may still do so. */
	| 'unknown';

/** An entry's demand on one engine. */
export type EngineDemand = {
	readonly wants: readonly AdapterWant[];
	/** Adapters that were used recently, as `adapterKey` values. */
	readonly used: readonly string[];
	/** Base models that the service requires. */
	readonly models: readonly string[];
	/** Maximum number of adapters on the engine, including pending loads. */
	readonly adapterPlaces: number;
	/** Pending loads over all engines, as known to the entry. */
	readonly loads?: number;
	/** Adapters that no engine holds and that wait for a load, over all engines, as known to the entry. */
	readonly firstLoads?: number;
	/** Number of engines, as known to the entry. */
	readonly engines?: number;
	/** Times to the first event since the entry's last demand. */
	readonly prefills?: readonly PrefillSample[];
	/** Time between two events of a stream without prompts at the engine's usual pace, in milliseconds; absent if unknown. */
	readonly eventMs?: number;
};

/** A load that the engine accepted but does not report yet. */
type AcceptedLoad = {
	readonly at: number;
	/** Ordered version; undefined for the newest. */
	readonly version: number | undefined;
	/**
	 * Concurrent loads over all engines. Undefined if the engine loads the adapter from its cache, or replaces a version,
	 * which waits for the requests on it.
	 */
	readonly loads: number | undefined;
};

/** An order without an answer, which may still take effect. */
type UnresolvedOrder = {
	readonly order: EngineOrder;
	readonly born: number;
	readonly until: number;
};

/** Plans the orders to one engine. No other process sends orders to that engine. */
export class OrderPlanner {
	static create(): OrderPlanner {
		return new OrderPlanner();
	}

	private readonly _wants = WantQueue.create();
	/** Adapters in the engine's cache, least recently resident first. */
	private readonly _cached = new Map<string, true>();
	private _cacheBorn = 0;
	private readonly _loadLimit = LoadLimit.create();
	/** Concurrent loads over all engines and number of engines, by the last demand. */
	private _loads = 0;
	private _engines = 1;
	/** Adapters that no engine holds and that wait for a load, over all engines, by the last demand. */
	private _firstLoads = 0;
	/** Time of the last reported use or accepted load of each adapter, by adapter key. */
	private readonly _usedAt = new Map<string, number>();
	private _models: readonly string[] = [];
	private _adapterCapacity = 0;
	private _unresolved: UnresolvedOrder[] = [];
	/** Accepted loads that the engine does not report yet, by adapter key. */
	private readonly _accepted = new Map<string, AcceptedLoad>();
	/** Adapters that the engine refused to unload, with the time and the engine's start, by adapter key. */
	private readonly _refusedUnloads = new Map<
		string,
		{readonly at: number; readonly born: number}
	>();

	private constructor() {}

	/** Whether the engine lacks an adapter that entries want. */
	get hasWants(): boolean {
		return this._wants.size > 0;
	}

	/**
	 * Records an entry's demand.
	 *
	 * @param from identifier of the entry that sent the demand
	 */
	noteDemand(demand: EngineDemand, from: string, now: number): void {
		const {models, adapterPlaces, wants, used, loads = 0, engines = 1} = demand;
		this._firstLoads = demand.firstLoads ?? 0;
		this._models = models;
		this._adapterCapacity = adapterPlaces;
		this._loads = loads;
		this._engines = engines;
		for (const want of wants) {
			this._wants.note(want, from, now);
		}

		for (const key of used) {
			this._usedAt.set(key, now);
		}
	}

	/**
	 * Records the result of an order.
	 *
	 * @param born start time of the engine that received the order, in milliseconds since the epoch
	 */
	noteOutcome(
		order: EngineOrder,
		outcome: OrderOutcome,
		born: number,
		now: number,
	): void {
		if (outcome === 'unknown') {
			this._unresolved.push({
				order,
				born,
				until: now + unresolvedOrderLifetimeMs,
			});
		}

		if (outcome === 'refused' && order.operation === 'unload') {
			this._refusedUnloads.set(orderKey(order), {at: now, born});
		}

		if (outcome === 'accepted' && order.operation === 'load') {
			this._usedAt.set(orderKey(order), now);
			const key = orderKey(order);
			this._accepted.set(key, {
				at: now,
				version: order.version,
				loads:
					this._cached.has(key) || order.version !== undefined
						? undefined
						: this._loads + 1,
			});
		}
	}

	/** Returns the next order, or undefined if there is none. */
	plan(report: EngineReport, now: number): EngineOrder | undefined {
		this._prune(report, now);
		if (report.isLeaving === true) {
			return undefined;
		}

		const model = this._missingModel(report);
		if (model !== undefined) {
			return report.isBusy || report.models.length > 0
				? undefined
				: order('load', {model}, report);
		}

		for (const want of this._openWants(report, now)) {
			const planned = this._planWant(want, report, now);
			if (planned !== undefined) {
				return planned;
			}
		}

		return undefined;
	}

	/**
	 * Number of wants for adapters that no engine holds, of which no load is known to have begun, without those in the engine's
	 * cache.
	 */
	firstLoads(report: EngineReport, now: number): number {
		return this._wants
			.inLoadOrder(now)
			.filter(
				want =>
					!this._wants.isReplica(want, now) &&
					!this._cached.has(wantKey(want)) &&
					!this._accepted.has(wantKey(want)) &&
					!isPending(report, want) &&
					!holds(report, want),
			).length;
	}

	/** Estimated number of concurrent loads over all engines that the weight store serves at full speed. */
	get loadLimit(): number {
		return this._loadLimit.limit(this._engines);
	}

	private get _isStoreBusy(): boolean {
		return this._loads >= this.loadLimit;
	}

	private _missingModel(report: EngineReport): string | undefined {
		return this._models.find(
			model => !report.models.some(({name}) => name === model),
		);
	}

	/**
	 * Wants that may be ordered now. Adapters in the engine's cache come first, as they put no load on the weight store. While
	 * that is busy, replicas wait, so that what it loads serves requests which no engine can serve.
	 */
	private _openWants(
		report: EngineReport,
		now: number,
	): readonly AdapterWant[] {
		const open = this._wants
			.inLoadOrder(now)
			.filter(
				want =>
					report.models.some(({name}) => name === want.model) &&
					!this._accepted.has(wantKey(want)) &&
					!isPending(report, want),
			);
		const cached = open.filter(want => this._cached.has(wantKey(want)));
		const uncached = open.filter(want => !this._cached.has(wantKey(want)));
		if (this._isStoreBusy && report.pending.length > 0) {
			return cached;
		}

		return this._isStoreBusy || this._firstLoads > 0
			? [
					...cached,
					...uncached.filter(want => !this._wants.isDeferrable(want, now)),
				]
			: [...cached, ...uncached];
	}

	private _planWant(
		want: AdapterWant,
		report: EngineReport,
		now: number,
	): EngineOrder | undefined {
		if (report.pending.length >= maxPendingAdapters) {
			return undefined;
		}

		const occupied =
			residentAdapters(report).length +
			report.pending.length +
			this._unresolvedLoads();
		if (occupied < this._adapterCapacity) {
			// Without a version, the engine loads the newest one, which may be newer than the version that entries know.
			const {model, adapter} = want;
			const isReplacement = residentAdapters(report).some(
				held => held.model === model && held.adapter === adapter,
			);
			return order('load', isReplacement ? want : {model, adapter}, report);
		}

		const victim = this._leastRecentlyUsed(report, now);
		return victim === undefined ? undefined : order('unload', victim, report);
	}

	private _leastRecentlyUsed(
		report: EngineReport,
		now: number,
	): {readonly model: string; readonly adapter: string} | undefined {
		const [victim] = residentAdapters(report)
			.map(held => ({
				...held,
				usedAt:
					this._usedAt.get(adapterKey(held.model, held.adapter)) ??
					Number.NEGATIVE_INFINITY,
			}))
			.filter(
				({model, adapter, usedAt}) =>
					now - usedAt >= minEvictionIdleMs &&
					!this._refusedUnloads.has(adapterKey(model, adapter)) &&
					!this._wants.has(adapterKey(model, adapter)),
			)
			.toSorted((a, b) => a.usedAt - b.usedAt);
		return victim;
	}

	/** Tracks the adapters that the engine held since its start, most recent last. */
	private _updateCached(report: EngineReport): void {
		if (report.born !== this._cacheBorn) {
			this._cacheBorn = report.born;
			this._cached.clear();
		}

		for (const {model, adapter} of residentAdapters(report)) {
			const key = adapterKey(model, adapter);
			this._cached.delete(key);
			this._cached.set(key, true);
		}

		for (const key of this._cached.keys()) {
			if (this._cached.size <= this._adapterCapacity * cachedAdaptersPerPlace) {
				return;
			}

			this._cached.delete(key);
		}
	}

	/** Number of adapter loads that are unresolved and may still occupy a place on the engine. */
	private _unresolvedLoads(): number {
		return this._unresolved.filter(
			({order: {operation, adapter}}) =>
				operation === 'load' && adapter !== undefined,
		).length;
	}

	/** Removes satisfied and expired wants, accepted loads and unresolved orders. */
	private _prune(report: EngineReport, now: number): void {
		this._wants.prune(want => holds(report, want), now);
		this._updateCached(report);
		for (const [key, {at, version = 0, loads}] of this._accepted) {
			const [model = '', adapter = ''] = key.split('/');
			const want = {model, adapter, version};
			const isReported = holds(report, want) && !isPending(report, want);
			if (isReported && loads !== undefined && adapter !== '') {
				this._loadLimit.note({durationMs: now - at, loads}, this._engines);
			}

			if (isReported || now - at >= acceptedLoadTimeoutMs) {
				this._accepted.delete(key);
			}
		}

		for (const [key, {at, born}] of this._refusedUnloads) {
			if (born !== report.born || now - at >= refusedUnloadPauseMs) {
				this._refusedUnloads.delete(key);
			}
		}

		// A higher count since the same start means that the engine has accepted an order at this order's count, so it
		// rejects this one if it still arrives.
		this._unresolved = this._unresolved.filter(
			unresolved =>
				now < unresolved.until &&
				!(
					unresolved.born === report.born &&
					report.sequence > unresolved.order.expectedSequence
				),
		);
	}
}

function wantKey({model, adapter}: AdapterWant): string {
	return adapterKey(model, adapter);
}

function order(
	operation: 'load' | 'unload',
	target: {
		readonly model: string;
		readonly adapter?: string;
		readonly version?: number;
	},
	report: EngineReport,
): EngineOrder {
	const {model, adapter, version} = target;
	return {
		operation,
		model,
		adapter,
		version:
			operation === 'load' && version !== undefined && version > 0
				? version
				: undefined,
		expectedSequence: report.sequence,
	};
}

function orderKey({model, adapter}: EngineOrder): string {
	return adapterKey(model, adapter ?? '');
}

function residentAdapters(
	report: EngineReport,
): ReadonlyArray<{readonly model: string; readonly adapter: string}> {
	return report.models.flatMap(({name, adapters}) =>
		Object.keys(adapters).map(adapter => ({model: name, adapter})),
	);
}

function holds(report: EngineReport, want: AdapterWant): boolean {
	const held = report.models.find(({name}) => name === want.model)?.adapters[
		want.adapter
	];
	return held !== undefined && held >= want.version;
}

function isPending(report: EngineReport, want: AdapterWant): boolean {
	return report.pending.some(
		({model, adapter}) => model === want.model && adapter === want.adapter,
	);
}
