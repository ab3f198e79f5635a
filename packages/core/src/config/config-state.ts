import {PersistentMap} from '../common/persistent-map.js';
import type {
	Adapter,
	ConfigChange,
	ConfigOp,
	ConfigSnapshot,
	ConfigView,
	Customer,
	KeyRecord,
	Route,
} from './types.js';
import {subjectOf} from './subjects.js';

/** Result of applying a change to a state. */
export type ApplyResult =
	| {readonly kind: 'applied'; readonly state: ConfigState}
	/** The state is already at this version or a later one. */
	| {readonly kind: 'old'}
	/** Changes between the state's version and this change are missing. `missingFrom` is the first missing version. */
	| {readonly kind: 'gap'; readonly missingFrom: number};

type Parts = {
	readonly documentDigest: string;
	readonly customers: PersistentMap<Customer>;
	readonly adapters: PersistentMap<Adapter>;
	readonly routes: PersistentMap<Route>;
	readonly keys: PersistentMap<KeyRecord>;
	readonly withdrawnKeyIds: PersistentMap<true>;
	readonly zonesOut: PersistentMap<true>;
	readonly drainedServers: PersistentMap<true>;
};

/**
 * Immutable configuration at one version. Applying a change returns a new state that shares
 * all unchanged data, so a reader can keep a state for any length of time.
 */
export class ConfigState implements ConfigView {
	/** Returns the empty configuration before the first change, at version 0. */
	public static empty(): ConfigState {
		return new ConfigState(0, emptyParts, PersistentMap.empty(), 0);
	}

	/** Creates the state that a snapshot describes. */
	public static fromSnapshot(snapshot: ConfigSnapshot): ConfigState {
		return new ConfigState(
			snapshot.version,
			partsOf(snapshot),
			PersistentMap.empty(),
			snapshot.version,
		);
	}

	private constructor(
		public readonly version: number,
		private readonly _parts: Parts,
		/** Version of the last known change to each subject. */
		private readonly _lastChangeVersions: PersistentMap<number>,
		/** Version of the snapshot that the state started from; 0 without one. */
		private readonly _baseVersion: number,
	) {}

	public get documentDigest(): string {
		return this._parts.documentDigest;
	}

	/** Applies the change that directly follows this version. Any other change is not applied. */
	public applyChange(change: ConfigChange): ApplyResult {
		if (change.version <= this.version) {
			return {kind: 'old'};
		}

		if (change.version !== this.version + 1) {
			return {kind: 'gap', missingFrom: this.version + 1};
		}

		const subjects = change.ops.map(op => subjectOf(op));
		const lastChangeVersions = this._lastChangeVersions.update(
			new Map(subjects.map(subject => [subject, change.version])),
		);
		const state = new ConfigState(
			change.version,
			applyOps(this._parts, change.ops),
			lastChangeVersions,
			this._baseVersion,
		);
		return {kind: 'applied', state};
	}

	public customer(name: string): Customer | undefined {
		return this._parts.customers.get(name);
	}

	public adapter(name: string): Adapter | undefined {
		return this._parts.adapters.get(name);
	}

	public route(name: string): Route | undefined {
		return this._parts.routes.get(name);
	}

	public key(id: string): KeyRecord | undefined {
		return this._parts.keys.get(id);
	}

	public isKeyWithdrawn(id: string): boolean {
		return this._parts.withdrawnKeyIds.has(id);
	}

	public isZoneOut(zone: string): boolean {
		return this._parts.zonesOut.has(zone);
	}

	public isServerDrained(server: string): boolean {
		return this._parts.drainedServers.has(server);
	}

	public lastChangeVersion(subject: string): number {
		return this._lastChangeVersions.get(subject) ?? this._baseVersion;
	}

	public customers(): Iterable<Customer> {
		return this._parts.customers.values();
	}

	public adapters(): Iterable<Adapter> {
		return this._parts.adapters.values();
	}

	public routes(): Iterable<Route> {
		return this._parts.routes.values();
	}

	public keys(): Iterable<KeyRecord> {
		return this._parts.keys.values();
	}

	public zonesOut(): readonly string[] {
		return this._parts.zonesOut.sortedKeys();
	}

	public drainedServers(): readonly string[] {
		return this._parts.drainedServers.sortedKeys();
	}

	public toSnapshot(): ConfigSnapshot {
		return {
			version: this.version,
			documentDigest: this.documentDigest,
			customers: byName(this.customers()),
			adapters: byName(this.adapters()),
			routes: byName(this.routes()),
			keys: [...this.keys()].toSorted((a, b) => (a.id < b.id ? -1 : 1)),
			withdrawnKeyIds: this._parts.withdrawnKeyIds.sortedKeys(),
			zonesOut: this.zonesOut(),
			drainedServers: this.drainedServers(),
		};
	}
}

const emptyParts: Parts = {
	documentDigest: '',
	customers: PersistentMap.empty(),
	adapters: PersistentMap.empty(),
	routes: PersistentMap.empty(),
	keys: PersistentMap.empty(),
	withdrawnKeyIds: PersistentMap.empty(),
	zonesOut: PersistentMap.empty(),
	drainedServers: PersistentMap.empty(),
};

function partsOf(snapshot: ConfigSnapshot): Parts {
	return {
		documentDigest: snapshot.documentDigest,
		customers: mapByName(snapshot.customers),
		adapters: mapByName(snapshot.adapters),
		routes: mapByName(snapshot.routes),
		keys: PersistentMap.from(snapshot.keys.map(key => [key.id, key])),
		withdrawnKeyIds: setOf(snapshot.withdrawnKeyIds),
		zonesOut: setOf(snapshot.zonesOut),
		drainedServers: setOf(snapshot.drainedServers),
	};
}

/** Last value of each name that the operations of a change set. `undefined` deletes the name. */
type PendingUpdates<T> = Map<string, T | undefined>;

/**
 * Applies the operations of a change. Those on customers, adapters and routes are collected and applied
 * in one update per map, because one change may hold very many of them.
 */
function applyOps(initial: Parts, ops: readonly ConfigOp[]): Parts {
	const customers: PendingUpdates<Customer> = new Map();
	const adapters: PendingUpdates<Adapter> = new Map();
	const routes: PendingUpdates<Route> = new Map();
	let parts = initial;
	for (const op of ops) {
		switch (op.op) {
			case 'putCustomer': {
				customers.set(op.customer.name, op.customer);
				break;
			}

			case 'deleteCustomer': {
				customers.set(op.name, undefined);
				break;
			}

			case 'putAdapter': {
				adapters.set(op.adapter.name, op.adapter);
				break;
			}

			case 'deleteAdapter': {
				adapters.set(op.name, undefined);
				break;
			}

			case 'putRoute': {
				routes.set(op.route.name, op.route);
				break;
			}

			case 'deleteRoute': {
				routes.set(op.name, undefined);
				break;
			}

			case 'setDocumentDigest':
			case 'issueKey':
			case 'withdrawKey':
			case 'takeZoneOut':
			case 'bringZoneIn':
			case 'drainServer':
			case 'undrainServer': {
				parts = applySingleOp(parts, op);
			}
		}
	}

	return {
		...parts,
		customers: parts.customers.update(customers),
		adapters: parts.adapters.update(adapters),
		routes: parts.routes.update(routes),
	};
}

type BatchedOp = Extract<
	ConfigOp,
	{
		op:
			| 'putCustomer'
			| 'deleteCustomer'
			| 'putAdapter'
			| 'deleteAdapter'
			| 'putRoute'
			| 'deleteRoute';
	}
>;

function applySingleOp(parts: Parts, op: Exclude<ConfigOp, BatchedOp>): Parts {
	switch (op.op) {
		case 'setDocumentDigest': {
			return {...parts, documentDigest: op.digest};
		}

		case 'issueKey':
		case 'withdrawKey': {
			return applyKeyOp(parts, op);
		}

		case 'takeZoneOut': {
			return {...parts, zonesOut: parts.zonesOut.set(op.zone, true)};
		}

		case 'bringZoneIn': {
			return {...parts, zonesOut: parts.zonesOut.delete(op.zone)};
		}

		case 'drainServer': {
			const drainedServers = parts.drainedServers.set(op.server, true);
			return {...parts, drainedServers};
		}

		case 'undrainServer': {
			const drainedServers = parts.drainedServers.delete(op.server);
			return {...parts, drainedServers};
		}
	}
}

type KeyOp = Extract<ConfigOp, {op: 'issueKey' | 'withdrawKey'}>;

/** A withdrawn key ID stays withdrawn: issuing it again has no effect. */
function applyKeyOp(parts: Parts, op: KeyOp): Parts {
	if (op.op === 'withdrawKey') {
		return {
			...parts,
			keys: parts.keys.delete(op.keyId),
			withdrawnKeyIds: parts.withdrawnKeyIds.set(op.keyId, true),
		};
	}

	return parts.withdrawnKeyIds.has(op.key.id)
		? parts
		: {...parts, keys: parts.keys.set(op.key.id, op.key)};
}

type Named = {readonly name: string};

function mapByName<T extends Named>(items: readonly T[]): PersistentMap<T> {
	return PersistentMap.from(items.map(item => [item.name, item] as const));
}

function setOf(names: readonly string[]): PersistentMap<true> {
	return PersistentMap.from(names.map(name => [name, true] as const));
}

function byName<T extends Named>(items: Iterable<T>): readonly T[] {
	return [...items].toSorted((a, b) => (a.name < b.name ? -1 : 1));
}
