import {randomBytes} from 'node:crypto';
import {
	ConfigState,
	createKey,
	type Adapter,
	type ConfigSnapshot,
	type Customer,
	type KeyRecord,
	type Route,
} from '@balsamtray/core';
import {configSnapshotSchema} from '@balsamtray/protocol';

/** Number of items of each kind in a configuration. */
export type StateSize = {
	readonly customers: number;
	readonly adapters: number;
	readonly routes: number;
	readonly keys: number;
};

const adaptersPerCustomer = 100;

/** Creates the snapshot of a configuration with realistic items. */
export function exampleSnapshot(size: StateSize): ConfigSnapshot {
	return {
		version: 1,
		documentDigest: '0'.repeat(64),
		customers: list(size.customers, i => customerOf(i)),
		adapters: list(size.adapters, i => adapterOf(i)),
		routes: list(size.routes, i => routeOf(i)),
		keys: list(size.keys, i => keyOf(i)),
		withdrawnKeyIds: [],
		zonesOut: [],
		drainedServers: [],
	};
}

/** Creates the state of a configuration with realistic items, parsed from JSON as in a running process. */
export function exampleState(size: StateSize): ConfigState {
	const text = JSON.stringify(exampleSnapshot(size));
	// Parsing gives each item its own strings. Shared strings would make the heap figures too small.
	const snapshot = configSnapshotSchema.parse(JSON.parse(text));
	return ConfigState.fromSnapshot(snapshot);
}

/** Creates an adapter. Adapters with the same number differ only in their two newest versions. */
export function adapterOf(i: number, version = 2): Adapter {
	const names = [`v${version - 1}`, `v${version}`];
	return {
		name: `adapter-${i}`,
		baseModel: `base-${i % 2}`,
		customers: [`customer-${Math.floor(i / adaptersPerCustomer)}`],
		versions: names.map(name => ({
			name,
			weights: `customer/adapter-${i}/${name}`,
		})),
		currentVersion: `v${version}`,
	};
}

function customerOf(i: number): Customer {
	return {
		name: `customer-${i}`,
		tokensPerSecond: 1000 + i,
		burstTokens: 10_000 + i,
		weight: 1,
	};
}

function routeOf(i: number): Route {
	return {
		name: `route-${i}`,
		target: {kind: 'service', service: `service-${i % 10}`},
		customers: [`customer-${i}`],
		isRepeatable: false,
		tokensPerCall: 50,
	};
}

function keyOf(i: number): KeyRecord {
	return createKey(`customer-${i % 100}`, randomBytes, i).record;
}

function list<T>(length: number, create: (i: number) => T): readonly T[] {
	return Array.from({length}, (_, i) => create(i));
}
