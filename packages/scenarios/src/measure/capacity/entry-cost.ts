import {performance} from 'node:perf_hooks';
import {EntryCore, type ServerStatus} from '@balsamtray/core';
import {
	fixtureAdapter,
	fixtureBaseModel,
	fixtureConfig,
	fixtureHosts,
	fixtureRequest,
} from './fixture.js';
import {heapBytes} from './heap.js';

/** Cost of an entry's decisions at one fleet size. */
export type EntryCost = {
	readonly servers: number;
	readonly adapters: number;
	/** Time of all decisions for one request, from its arrival to its end. */
	readonly microsecondsPerRequest: number;
	readonly bytesPerLiveRequest: number;
};

const warmRequests = 20_000;
const measuredRequests = 100_000;
const openRequests = 10_000;
const microsecondsInMs = 1000;

const sizes = [
	{servers: 12, adapters: 3000},
	{servers: 10_000, adapters: 11_000},
];

function statusOf(server: string): ServerStatus {
	return {
		server,
		zone: 'zone-0',
		incarnation: '1',
		configVersion: 1,
		backend: {kind: 'engine', baseModel: fixtureBaseModel},
		isAcceptingWork: true,
		running: 1,
		queued: 0,
		window: 8,
		expectedWaitMs: 0,
		adapterState: 'resident',
	};
}

/** Passes one request through token reservation and dispatch. Returns the chosen server. */
function dispatchOne(core: EntryCore, id: string, adapter: string): string {
	core.handle(
		{type: 'requestArrived', request: fixtureRequest(id, adapter)},
		1000,
	);
	const commands = core.handle({type: 'tokensReserved', requestId: id}, 1000);
	const dispatch = commands.find(command => command.type === 'dispatch');
	if (dispatch === undefined) {
		throw new Error(`request ${id} was not dispatched`);
	}

	return dispatch.server;
}

function completeOne(core: EntryCore, id: string, server: string): void {
	const attemptId = `${id}.1`;
	core.handle(
		{type: 'answerStarted', attemptId, status: statusOf(server)},
		1000,
	);
	core.handle(
		{
			type: 'answerCompleted',
			attemptId,
			usage: {promptTokens: 200, completionTokens: 100},
		},
		1000,
	);
}

function measureAt(servers: number, adapters: number): EntryCost {
	const config = fixtureConfig(adapters);
	const core = EntryCore.create({
		entryId: 'entry',
		region: 'region',
		view: () => config,
		now: 0,
	});
	core.handle({type: 'membershipChanged', hosts: fixtureHosts(servers)}, 0);
	const runOne = (number: number) => {
		const id = `r${number}`;
		completeOne(
			core,
			id,
			dispatchOne(core, id, fixtureAdapter(number % adapters)),
		);
	};

	for (let i = 0; i < warmRequests; i++) {
		runOne(i);
	}

	const startedAt = performance.now();
	for (let i = 0; i < measuredRequests; i++) {
		runOne(i);
	}

	const elapsedMs = performance.now() - startedAt;
	const before = heapBytes();
	for (let i = 0; i < openRequests; i++) {
		dispatchOne(core, `live${i}`, fixtureAdapter(i % adapters));
	}

	return {
		servers,
		adapters,
		microsecondsPerRequest: (elapsedMs / measuredRequests) * microsecondsInMs,
		bytesPerLiveRequest: (heapBytes() - before) / openRequests,
	};
}

/** Measures the entry's decisions at the current fleet size (12 servers) and at the planned one (10,000 servers). */
export function measureEntryCost(): readonly EntryCost[] {
	return sizes.map(({servers, adapters}) => measureAt(servers, adapters));
}
