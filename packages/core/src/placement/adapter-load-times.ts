import {adapterKey} from '../authority/authority-view.js';
import {maxLoadSamples, reportLifetimeMs} from './constants.js';
import type {EngineReport} from './types.js';

type ServerLoads = {
	readonly born: number;
	reportedAt: number;
	/** Time of the first report that showed the load, by adapter key. */
	readonly since: Map<string, number>;
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

	private constructor() {}

	noteReport(server: string, report: EngineReport, now: number): void {
		this._dropSilent(now);
		const known = this._servers.get(server);
		this._servers.delete(server);
		const pending = new Set(
			report.pending.map(({model, adapter}) => adapterKey(model, adapter)),
		);
		const since = new Map([...pending].map(key => [key, now]));
		if (known?.born === report.born) {
			const held = new Set(
				report.models.flatMap(({name, adapters}) =>
					Object.keys(adapters).map(adapter => adapterKey(name, adapter)),
				),
			);
			for (const [key, startedAt] of known.since) {
				if (pending.has(key)) {
					since.set(key, startedAt);
				} else if (held.has(key)) {
					this._samples = [...this._samples, now - startedAt].slice(
						-maxLoadSamples,
					);
				}
			}
		}

		if (since.size > 0) {
			this._servers.set(server, {born: report.born, reportedAt: now, since});
		}
	}

	/**
	 * Estimated time until an adapter that no usable server holds is loaded, in milliseconds. Undefined as long as no load
	 * was seen from its begin to its end.
	 */
	remainingMs(model: string, adapter: string, now: number): number | undefined {
		if (this._samples.length === 0) {
			return undefined;
		}

		this._dropSilent(now);
		const sorted = this._samples.toSorted((a, b) => a - b);
		const loadMs = sorted[Math.floor(sorted.length / 2)]!;
		const key = adapterKey(model, adapter);
		let elapsedMs = 0;
		for (const {since} of this._servers.values()) {
			elapsedMs = Math.max(elapsedMs, now - (since.get(key) ?? now));
		}

		return Math.max(0, loadMs - elapsedMs);
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
