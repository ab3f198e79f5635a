import {AdapterVersions} from './adapter-versions.js';
import {KeyDirectory} from './key-directory.js';
import {RouteTable} from './route-table.js';
import type {AuthorityConfig, AuthorityRow, ServiceSpec} from './types.js';

/** Changes made by `AuthorityView.apply`. */
export type AuthorityChange = {
	readonly hasNewConfig: boolean;
	readonly hasChanged: boolean;
	/** Adapter versions that are newer than those known before. */
	readonly declared: readonly DeclaredAdapter[];
};

/** A declared version of an adapter. */
export type DeclaredAdapter = {
	/** `adapterKey` of the adapter. */
	readonly adapter: string;
	readonly version: number;
	/** Monotonic time after which it was declared, in milliseconds; negative infinity if that is unknown. */
	readonly since: number;
};

/** A configuration with its lookup tables. */
export type ConfigInForce = {
	readonly config: AuthorityConfig;
	readonly routes: RouteTable;
	readonly keys: KeyDirectory;
	readonly services: ReadonlyMap<string, ServiceSpec>;
};

/**
 * This process's view of the authority's statements. Versions only increase: a row is replaced only by a newer row, and
 * the configuration and adapter versions only by higher versions.
 */
export class AuthorityView {
	static create(): AuthorityView {
		return new AuthorityView();
	}

	private readonly _rows = new Map<string, AuthorityRow>();
	private readonly _zonesOut = new Set<string>();
	private readonly _versions = AdapterVersions.create();
	private _inForce: ConfigInForce | undefined;
	private _version = 0;

	private constructor() {}

	/** Highest row version among the statements, 0 before the first. */
	get version(): number {
		return this._version;
	}

	/** Configuration with the highest version, with its lookup tables; undefined before the first. */
	get inForce(): ConfigInForce | undefined {
		return this._inForce;
	}

	isZoneOut(zone: string): boolean {
		return this._zonesOut.has(zone);
	}

	/** Newest declared version of an adapter; undefined if none was declared. */
	newestVersion(model: string, adapter: string): number | undefined {
		return this._versions.newest(adapterKey(model, adapter));
	}

	/** Oldest version of an adapter that may be used if newer ones end its use after `graceMs`; 0 if any may. */
	minVersion(
		model: string,
		adapter: string,
		graceMs: number,
		now: number,
	): number {
		return this._versions.minimum(adapterKey(model, adapter), graceMs, now);
	}

	/** Forgets when versions were declared, since the monotonic clock may have stopped meanwhile. */
	forgetVersionTimes(): void {
		this._versions.forgetTimes();
	}

	/** Returns all rows, for sending them to a peer. */
	rows(): readonly AuthorityRow[] {
		return [...this._rows.values()];
	}

	/**
	 * Applies changed rows, in any order.
	 *
	 * @param provenAt monotonic time at which this process last knew the newest statements. The authority made those that
	 *   it did not know then later; negative infinity if it may have made them at any time
	 */
	apply(rows: readonly AuthorityRow[], provenAt: number): AuthorityChange {
		const before = this._inForce;
		const declared: DeclaredAdapter[] = [];
		let hasChanged = false;
		for (const row of rows) {
			if (row.rowVersion > (this._rows.get(row.key)?.rowVersion ?? 0)) {
				declared.push(...this._replace(row, provenAt));
				hasChanged = true;
			}
		}

		return {hasChanged, hasNewConfig: before !== this._inForce, declared};
	}

	/** Applies all rows as of one store version, like `apply`. Older rows that are missing count as withdrawn. */
	applyAll(
		rows: readonly AuthorityRow[],
		storeVersion: number,
		provenAt: number,
	): AuthorityChange {
		const keys = new Set(rows.map(({key}) => key));
		const withdrawn = this.rows()
			.filter(
				({key, rowVersion}) => !keys.has(key) && rowVersion < storeVersion,
			)
			.map(({key}): AuthorityRow => ({
				key,
				rowVersion: storeVersion,
				statement: {type: 'withdrawn'},
			}));
		return this.apply([...withdrawn, ...rows], provenAt);
	}

	/** Returns the adapter version that the row declares, if it is a newer one. */
	private _replace(
		row: AuthorityRow,
		provenAt: number,
	): readonly DeclaredAdapter[] {
		const before = this._rows.get(row.key)?.statement;
		this._version = Math.max(this._version, row.rowVersion);
		if (row.statement.type === 'withdrawn' && before?.type === 'config') {
			// A configuration is only replaced, never withdrawn.
			return [];
		}

		this._rows.set(row.key, row);
		if (before?.type === 'zoneOut') {
			this._zonesOut.delete(before.zone);
		}

		const {statement} = row;
		switch (statement.type) {
			case 'config': {
				this._setConfig(statement.config);
				break;
			}

			case 'zoneOut': {
				this._zonesOut.add(statement.zone);
				break;
			}

			case 'adapterVersion': {
				return this._declare(statement, provenAt);
			}

			case 'withdrawn': {
				break;
			}
		}

		return [];
	}

	private _setConfig(config: AuthorityConfig): void {
		if (config.version > (this._inForce?.config.version ?? -1)) {
			this._inForce = {
				config,
				routes: RouteTable.create(config),
				keys: KeyDirectory.create(config),
				services: new Map(
					config.services.map(service => [service.name, service]),
				),
			};
		}
	}

	private _declare(
		declared: {model: string; adapter: string; version: number},
		provenAt: number,
	): readonly DeclaredAdapter[] {
		const adapter = adapterKey(declared.model, declared.adapter);
		const {version} = declared;
		return this._versions.declare(adapter, version, provenAt)
			? [{adapter, version, since: provenAt}]
			: [];
	}
}

/** Returns the map key of a model's adapter. */
export function adapterKey(model: string, adapter: string): string {
	return `${model}/${adapter}`;
}
