import {adapterKey} from '../authority/authority-view.js';
import {cachedAdaptersPerPlace} from '../orders/constants.js';
import type {EngineReport} from '../placement/types.js';

/** Adapters that an engine has evicted since its start, by its reports. It loads them faster than others. */
export class RecentAdapters {
	static create(): RecentAdapters {
		return new RecentAdapters();
	}

	/** Adapter keys, the one that was evicted first at the front. */
	private readonly _evicted = new Set<string>();

	private constructor() {}

	/** @param key `adapterKey` of the adapter */
	has(key: string): boolean {
		return this._evicted.has(key);
	}

	noteReport(report: EngineReport, previous: EngineReport | undefined): void {
		if (previous?.born !== report.born) {
			this._evicted.clear();
			return;
		}

		const held = keysOf(report);
		const before = keysOf(previous);
		for (const key of before) {
			if (!held.has(key)) {
				this._evicted.delete(key);
				this._evicted.add(key);
			}
		}

		for (const key of held) {
			this._evicted.delete(key);
		}

		const maxEvicted = cachedAdaptersPerPlace * Math.max(1, held.size);
		for (const key of this._evicted) {
			if (this._evicted.size <= maxEvicted) {
				return;
			}

			this._evicted.delete(key);
		}
	}
}

function keysOf({models}: EngineReport): ReadonlySet<string> {
	return new Set(
		models.flatMap(({name, adapters}) =>
			Object.keys(adapters).map(adapter => adapterKey(name, adapter)),
		),
	);
}
