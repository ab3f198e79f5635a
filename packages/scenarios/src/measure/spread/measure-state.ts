import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {ConfigChange, ConfigState} from '@balsamtray/core';
import {adapterOf, exampleState, type StateSize} from './example-state.js';

const microsecondsPerMillisecond = 1000;
const emptySize: StateSize = {customers: 0, adapters: 0, routes: 0, keys: 0};
const itemCount = 11_000;
const changeCount = 5000;

/** Memory and processing times of one process's configuration state. */
export type StateMeasurement = {
	readonly bytesPerAdapter: number;
	readonly bytesPerCustomer: number;
	readonly bytesPerRoute: number;
	readonly bytesPerKey: number;
	/** Time to apply a change of one adapter among 11,000. */
	readonly microsecondsPerChange: number;
	/** Time to read one adapter among 11,000. */
	readonly microsecondsPerLookup: number;
	/** Time to restore a snapshot of 11,000 adapters. */
	readonly millisecondsPerSnapshot: number;
};

/** Measures memory and processing times of a configuration's state. */
export function measureState(): StateMeasurement {
	const state = exampleState({...emptySize, adapters: itemCount});
	const changed = timeChanges(state);
	return {
		bytesPerAdapter: bytesPer({...emptySize, adapters: itemCount}),
		bytesPerCustomer: bytesPer({...emptySize, customers: itemCount}),
		bytesPerRoute: bytesPer({...emptySize, routes: itemCount}),
		bytesPerKey: bytesPer({...emptySize, keys: itemCount}),
		microsecondsPerChange: changed.microseconds,
		microsecondsPerLookup: timeLookups(state),
		millisecondsPerSnapshot: timeRestore(),
	};
}

function bytesPer(size: StateSize): number {
	const collect = garbageCollector();
	collect();
	const before = process.memoryUsage().heapUsed;
	const state = exampleState(size);
	collect();
	const after = process.memoryUsage().heapUsed;
	// Using the state after the measurement keeps it from being collected before.
	return state.version === 1 ? Math.round((after - before) / itemCount) : 0;
}

function timeChanges(first: ConfigState): {readonly microseconds: number} {
	const changes: readonly ConfigChange[] = Array.from(
		{length: changeCount},
		(_, i) => ({
			version: first.version + 1 + i,
			changeId: `change-${i}`,
			author: 'operator',
			writtenAt: i,
			summary: '',
			ops: [{op: 'putAdapter', adapter: adapterOf((i * 7919) % itemCount, 3)}],
		}),
	);
	let state = first;
	const startedAt = performance.now();
	for (const change of changes) {
		const result = state.applyChange(change);
		if (result.kind === 'applied') {
			state = result.state;
		}
	}

	return {microseconds: perItem(startedAt, changeCount)};
}

function timeLookups(state: ConfigState): number {
	const rounds = 20;
	let found = 0;
	const startedAt = performance.now();
	for (let round = 0; round < rounds; round++) {
		for (let i = 0; i < itemCount; i++) {
			found += state.adapter(`adapter-${i}`) ? 1 : 0;
		}
	}

	return perItem(startedAt, found);
}

function timeRestore(): number {
	const startedAt = performance.now();
	exampleState({...emptySize, adapters: itemCount});
	return Math.round(performance.now() - startedAt);
}

function perItem(startedAt: number, count: number): number {
	const elapsedMs = performance.now() - startedAt;
	return round((elapsedMs * microsecondsPerMillisecond) / count);
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

function garbageCollector(): () => void {
	setFlagsFromString('--expose_gc');
	const collect: unknown = runInNewContext('gc');
	if (typeof collect !== 'function') {
		throw new TypeError(
			'the garbage collector is not exposed: gc is not a function',
		);
	}

	return () => {
		Reflect.apply(collect, undefined, []);
	};
}
