import {createRandom, type Host} from '@balsamtray/core';
import {checkDocument} from '@balsamtray/protocol';
import {ConfigTask} from '../config/config-task.js';
import {ConfigStore} from '../store/config-store.js';
import {MemoryObjects, MemoryTable} from '../store/testing.js';
import {ConfigAuthor} from './config-author.js';

const hosts: readonly Host[] = [1, 2].map(number => ({
	role: 'agent',
	id: `server-${number}`,
	zone: `zone-${number}`,
	region: 'main',
	peerAddress: '192.0.2.1:1',
	state: 'live',
	backend: {kind: 'engine', baseModel: 'base'},
}));

const ignore = () => undefined;

/** Telemetry that discards everything. */
export const noTelemetry = {
	logger: {info: ignore, warn: ignore, error: ignore},
	metrics: {increment: ignore, gauge: ignore, timing: ignore},
};

/** Creates a fleet of entries that share an in-memory store, for tests. */
export function createTestFleet() {
	const table = MemoryTable.create();
	const store = ConfigStore.create({
		environment: 'trial',
		table,
		objects: MemoryObjects.create(),
	});
	const tasks: ConfigTask[] = [];
	return {
		table,
		store,
		/** Adds an entry to the fleet. */
		addEntry(id: string) {
			const clock = () => 1_000_000;
			const membership = {
				hosts: () => hosts,
				find: () => undefined,
				onChanged: () => ({dispose: ignore}),
			};
			const config = ConfigTask.create({
				id,
				clock,
				random: createRandom(tasks.length),
				store,
				membership,
				peers: {
					async exchangeVersion() {
						throw new Error('no peer');
					},
					async changesAfter() {
						throw new Error('no peer');
					},
				},
				telemetry: noTelemetry,
			});
			tasks.push(config);
			const author = ConfigAuthor.create({
				id,
				environment: 'trial',
				clock,
				config,
				store,
				membership,
				telemetry: noTelemetry,
			});
			return {author, config};
		},
		/** Makes each entry read the store once. Leaves no timers behind. */
		async start(): Promise<void> {
			for (const task of tasks) {
				// eslint-disable-next-line no-await-in-loop
				await task.start();
				// eslint-disable-next-line no-await-in-loop
				await task.ready();
				// eslint-disable-next-line no-await-in-loop
				await task.stop();
			}
		},
	};
}

/** Returns the canonical text of a document with one customer and one adapter. */
export function documentText(adapter: string): string {
	const result = checkDocument({
		customers: {town: {tokensPerSecond: 1, burstTokens: 1}},
		adapters: {
			[adapter]: {
				baseModel: 'base',
				versions: {v1: 'weights'},
				currentVersion: 'v1',
			},
		},
	});
	if (result.kind === 'invalid') {
		throw new Error('the test document is invalid');
	}

	return result.text;
}
