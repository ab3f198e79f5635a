import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {
	AdapterLoadTimes,
	FleetView,
	type EngineReport,
	type ServiceSpec,
} from '@balsamtray/core';
import type {DemandMessage} from '@balsamtray/protocol';
import {AgentClient} from './agent-client.js';
import {
	demandIntervalMs,
	idleDemandIntervalMs,
	relayTimeoutMs,
} from './constants.js';

const service: ServiceSpec = {
	name: 'drafter',
	maxConnections: 100,
	coldRequestsPerSecond: 0,
	coldMs: 0,
	engine: {
		slots: 8,
		memoryTokens: 1000,
		adapterPlaces: 4,
		models: [{name: 'm', megabytes: 1}],
	},
};

const report: EngineReport = {
	born: 1,
	sequence: 1,
	isBusy: false,
	running: 0,
	waiting: 0,
	memoryUsed: 0,
	memoryTotal: 1000,
	models: [{name: 'm', adapters: {a: 1}}],
	pending: [],
};

let now: number;
let isRelay: boolean;
let sent: DemandMessage[];
let fleet: FleetView;
let client: AgentClient;

/** Lets the time pass in which demands are due. */
function pass(milliseconds: number): void {
	for (let i = 0; i < milliseconds; i += demandIntervalMs) {
		now += demandIntervalMs;
		mock.timers.tick(demandIntervalMs);
	}
}

describe('AgentClient', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setInterval', 'setTimeout']});
		now = 0;
		isRelay = false;
		sent = [];
		fleet = FleetView.create({
			zone: 'z',
			isZoneOut: () => false,
			newestVersion: () => undefined,
			minVersion: () => 0,
			serviceOf: () => service,
			coldBound: () => 100,
			entryCount: () => 1,
			onNewWant: () => undefined,
		});
		const record = {
			id: 's',
			service: 'drafter',
			address: '10.0.0.1:80',
			zone: 'z',
			slots: 8,
			isDraining: false,
			coldLeftMs: 0,
			models: [],
		};
		fleet.applyAll(
			[{id: 's', rowVersion: 1, record}],
			{era: 0, version: 1},
			now,
		);
		client = AgentClient.create({
			fleet,
			loadTimes: AdapterLoadTimes.create(),
			clock: () => now,
			serviceOf: () => service,
			agentPort: 1,
			waitingCount: () => 0,
			isRelay: () => isRelay,
			send(message) {
				if (message.type === 'demand') {
					sent.push(message);
				}
			},
			onReport: () => undefined,
			onQueryEnded: () => undefined,
			onLost: () => undefined,
			onRegained: () => undefined,
		});
		client.start();
	});

	afterEach(() => {
		client.dispose();
		mock.timers.reset();
	});

	it('subscribes to an agent that it has not heard of yet', () => {
		pass(demandIntervalMs);
		assert.deepEqual(
			sent.map(({isSubscribing}) => isSubscribing),
			[true],
		);
	});

	it('sends nothing while another entry relays the reports', () => {
		client.onReport('s', report);
		for (let i = 0; i < 20; i++) {
			pass(demandIntervalMs);
			client.onReport('s', report);
		}

		assert.deepEqual(sent, []);
	});

	it('keeps its subscription as the relay', () => {
		isRelay = true;
		client.onReport('s', report);
		for (let i = 0; i < 8; i++) {
			pass(demandIntervalMs);
			client.onReport('s', report);
		}

		assert.equal(
			sent.length,
			Math.floor((8 * demandIntervalMs) / idleDemandIntervalMs),
		);
		assert.ok(sent.every(({isSubscribing}) => isSubscribing));
	});

	it('subscribes when the relay passes nothing on', () => {
		client.onReport('s', report);
		pass(relayTimeoutMs + demandIntervalMs);
		assert.ok(sent.some(({isSubscribing}) => isSubscribing));
	});

	it('tells the agent of each use of an adapter, also after the request has ended', () => {
		client.onReport('s', report);
		const server = fleet.server('s')!;
		server.noteSent('m/a', now);
		server.noteEnded('m/a');
		pass(demandIntervalMs);
		assert.deepEqual(
			sent.map(({demand: {used}, isSubscribing}) => ({used, isSubscribing})),
			[{used: ['m/a'], isSubscribing: false}],
		);
	});
});
