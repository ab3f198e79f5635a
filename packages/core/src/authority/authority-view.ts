import {AdapterVersions} from './adapter-versions.js';
import {KeyDirectory} from './key-directory.js';
import {RouteTable} from './route-table.js';
import {
	compareStoreVersions,
	initialStoreVersion,
	newerStoreVersion,
	versionOfRow,
	type StoreVersion,
} from './store-version.js';
import type {
	AuthorityConfig,
	AuthorityRow,
	AuthorityStatement,
	ServiceSpec,
} from './types.js';

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

/** Key of the row that begins an era. No row of the authority has it. */
const eraKey = '';

/**
 * This process's view of the authority's statements. Versions only increase: a row is replaced only by a newer row, by the
 * store's era and then by its version, and the configuration and adapter versions only by higher versions.
 */
export class AuthorityView {
	static create(): AuthorityView {
		return new AuthorityView();
	}

	private readonly _rows = new Map<string, AuthorityRow>();
	private readonly _zonesOut = new Set<string>();
	private readonly _versions = AdapterVersions.create();
	private _inForce: ConfigInForce | undefined;
	private _version = initialStoreVersion;
	/** Statements that were only read in earlier eras no longer count. */
	private _settledEra = 0;

	private constructor() {}

	/** Highest version among the rows. */
	get version(): StoreVersion {
		return this._version;
	}

	/** Newest era of which it is decided what the store has lost. */
	get settledEra(): number {
		return this._settledEra;
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
			const known = this._rows.get(row.key);
			if (
				compareStoreVersions(
					versionOfRow(row),
					known === undefined ? initialStoreVersion : versionOfRow(known),
				) > 0 &&
				!this._isOutdated(row)
			) {
				declared.push(...this._replace(row, provenAt));
				hasChanged = true;
			}
		}

		return {hasChanged, hasNewConfig: before !== this._inForce, declared};
	}

	/**
	 * Applies all rows at the begin of an era. Rows that are missing still count, as the authority writes again what the
	 * store has lost.
	 */
	beginEra(
		rows: readonly AuthorityRow[],
		era: number,
		provenAt: number,
	): AuthorityChange {
		return this.apply([eraRow({era, version: 0}, false), ...rows], provenAt);
	}

	/** Applies all rows as of one store version, like `apply`. Older rows that are missing count as withdrawn. */
	applyAll(
		rows: readonly AuthorityRow[],
		storeVersion: StoreVersion,
		provenAt: number,
	): AuthorityChange {
		const keys = new Set(rows.map(({key}) => key));
		const {era, version} = storeVersion;
		const withdrawn = this.rows()
			.filter(
				row =>
					row.statement.type !== 'era' &&
					!keys.has(row.key) &&
					compareStoreVersions(versionOfRow(row), storeVersion) < 0,
			)
			.map(({key}): AuthorityRow => ({
				key,
				rowVersion: version,
				...(era > 0 && {era}),
				statement: {type: 'withdrawn'},
			}));
		const settled = era > this._settledEra ? [eraRow(storeVersion, true)] : [];
		return this.apply([...withdrawn, ...rows, ...settled], provenAt);
	}

	/** Whether a row is of an earlier era than the settled one, and not a statement that only rises. */
	private _isOutdated({era = 0, statement}: AuthorityRow): boolean {
		return (
			era < this._settledEra &&
			statement.type !== 'config' &&
			statement.type !== 'adapterVersion'
		);
	}

	/** Returns the adapter version that the row declares, if it is a newer one. */
	private _replace(
		row: AuthorityRow,
		provenAt: number,
	): readonly DeclaredAdapter[] {
		const before = this._rows.get(row.key)?.statement;
		this._version = newerStoreVersion(this._version, versionOfRow(row));
		if (row.statement.type === 'withdrawn' && before?.type === 'config') {
			// A configuration is only replaced, never withdrawn.
			return [];
		}

		this._rows.set(row.key, withNewestConfig(row, before));
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

			case 'era': {
				if (statement.isSettled) {
					this._settle(row.era ?? 0);
				}

				break;
			}

			case 'withdrawn': {
				break;
			}
		}

		return [];
	}

	/** Drops the statements that were only read in earlier eras. */
	private _settle(era: number): void {
		this._settledEra = era;
		for (const row of this._rows.values()) {
			if (this._isOutdated(row)) {
				this._rows.delete(row.key);
				if (row.statement.type === 'zoneOut') {
					this._zonesOut.delete(row.statement.zone);
				}
			}
		}
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

function eraRow(
	{era, version}: StoreVersion,
	isSettled: boolean,
): AuthorityRow {
	return {
		key: eraKey,
		rowVersion: version,
		era,
		statement: {type: 'era', isSettled},
	};
}

/** Returns the row with the higher configuration, so that peers never get a lower one than this process has. */
function withNewestConfig(
	row: AuthorityRow,
	before: AuthorityStatement | undefined,
): AuthorityRow {
	const {statement} = row;
	return statement.type === 'config' &&
		before?.type === 'config' &&
		before.config.version > statement.config.version
		? {...row, statement: before}
		: row;
}
