import {adapterKey} from '../authority/authority-view.js';
import {maxLoadDurations} from '../orders/constants.js';
import {LoadLimit} from '../orders/load-limit.js';
import {maxLoadSamples, reportLifetimeMs} from './constants.js';
import type {EngineReport} from './types.js';

type ServerLoads = {
	readonly born: number;
	reportedAt: number;
	/** Time of the first report that showed the load, by adapter key. */
	readonly since: Map<string, number>;
	/** Loads over all servers when each load was first shown; absent for those from the engine's cache, or of a new version. */
	readonly loads: Map<string, number>;
};

/** Times that loads of adapters take, by the reports of the engines. */
export class AdapterLoadTimes {
	static create(): AdapterLoadTimes {
		return new AdapterLoadTimes();
	}

	/** Servers that load adapters. The one whose report is oldest comes first. */
	private readonly _servers = new Map<string, ServerLoads>();
	/** Durations of the newest complete loads, in milliseconds. */
	private _samples: readonly number[] = [];
	/** Durations of the newest loads that came from the weight store, in milliseconds. */
	private _storeLoads: readonly number[] = [];
	private readonly _loadLimit = LoadLimit.create();

	private constructor() {}

	/** Time of a load at the full speed of the weight store, in milliseconds; undefined as long as no load was seen whole. */
	get fullSpeedMs(): number | undefined {
		return this._storeLoads.length === 0
			? undefined
			: Math.min(...this._storeLoads);
	}

	/** Estimated number of concurrent loads that the weight store serves at full speed; undefined without a whole load. */
	loadLimit(engines: number): number | undefined {
		return this._storeLoads.length === 0
			? undefined
			: this._loadLimit.limit(engines);
	}

	/**
	 * @param isCached whether the engine may have the adapter in its cache, by its key
	 * @param engines number of engines that share the weight store
	 */
	noteReport(
		server: string,
		report: EngineReport,
		now: number,
		{
			isCached = () => false,
			engines = 1,
		}: {
			readonly isCached?: (key: string) => boolean;
			readonly engines?: number;
		} = {},
	): void {
		this._dropSilent(now);
		const known = this._servers.get(server);
		this._servers.delete(server);
		const pending = new Set(
			report.pending.map(({model, adapter}) => adapterKey(model, adapter)),
		);
		const since = new Map([...pending].map(key => [key, now]));
		const held = new Set(
			report.models.flatMap(({name, adapters}) =>
				Object.keys(adapters).map(adapter => adapterKey(name, adapter)),
			),
		);
		const current = this._currentLoads() + pending.size;
		const loads = new Map(
			[...pending]
				.filter(key => !held.has(key) && !isCached(key))
				.map(key => [key, current]),
		);
		if (known?.born === report.born) {
			for (const [key, startedAt] of known.since) {
				if (pending.has(key)) {
					since.set(key, startedAt);
					const begun = known.loads.get(key);
					if (begun === undefined) {
						loads.delete(key);
					} else {
						loads.set(key, begun);
					}
				} else if (held.has(key)) {
					this._noteStoreLoad(known.loads.get(key), now - startedAt, engines);
					this._samples = [...this._samples, now - startedAt].slice(
						-maxLoadSamples,
					);
				}
			}
		}

		if (since.size > 0) {
			this._servers.set(server, {
				born: report.born,
				reportedAt: now,
				since,
				loads,
			});
		}
	}

	/** Median time of the newest loads, in milliseconds; undefined as long as no load was seen whole. */
	get recentMs(): number | undefined {
		const sorted = this._samples.toSorted((a, b) => a - b);
		return sorted[Math.floor(sorted.length / 2)];
	}

	/**
	 * Estimated time until an adapter that no usable server holds is loaded, in milliseconds. Undefined as long as no load
	 * was seen from its begin to its end.
	 */
	remainingMs(model: string, adapter: string, now: number): number | undefined {
		const loadMs = this.recentMs;
		if (loadMs === undefined) {
			return undefined;
		}

		this._dropSilent(now);
		const key = adapterKey(model, adapter);
		let elapsedMs = 0;
		for (const {since} of this._servers.values()) {
			elapsedMs = Math.max(elapsedMs, now - (since.get(key) ?? now));
		}

		return Math.max(0, loadMs - elapsedMs);
	}

	/** @param loads concurrent loads when it began; undefined if it did not come from the weight store */
	private _noteStoreLoad(
		loads: number | undefined,
		durationMs: number,
		engines: number,
	): void {
		if (loads !== undefined && durationMs > 0) {
			this._storeLoads = [...this._storeLoads, durationMs].slice(
				-maxLoadDurations,
			);
			this._loadLimit.note({durationMs, loads}, engines);
		}
	}

	/** Loads from the weight store at all servers that have reported. */
	private _currentLoads(): number {
		let count = 0;
		for (const {loads} of this._servers.values()) {
			count += loads.size;
		}

		return count;
	}

	/** Forgets loads at servers whose reports have ended: they may have ended with their server. */
	private _dropSilent(now: number): void {
		for (const [server, {reportedAt}] of this._servers) {
			if (now - reportedAt < reportLifetimeMs) {
				return;
			}

			this._servers.delete(server);
		}
	}
}
