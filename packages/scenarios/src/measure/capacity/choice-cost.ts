import {performance} from 'node:perf_hooks';
import {
	createRandom,
	FleetView,
	type EngineReport,
	type OutputProgress,
	type ServerNeed,
} from '@balsamtray/core';

/** Processor time of an entry's choice among engines at one fleet size. */
export type ChoiceCost = {
	readonly servers: number;
	/** Engines that hold the adapter of a request. */
	readonly holders: number;
	/** Whether the engines report how long work takes on their hosts, so that the choice goes by expected times. */
	readonly reportsPace: boolean;
	/** Time of one choice, of the quickest of several rounds. */
	readonly microsecondsPerChoice: number;
	/** Time to note the send, the events and the end of one request, of the quickest of several rounds. */
	readonly microsecondsPerRequest: number;
};

const sizes = [
	{servers: 30, choices: 6000},
	{servers: 300, choices: 1000},
	{servers: 10_000, choices: 40},
];
const rounds = 7;
const adapters = 500;
const holders = 3;
const entries = 24;
const microsecondsInMs = 1000;
const eventsPerRequest = 40;

const reportOf = (
	server: number,
	servers: number,
	reportsPace: boolean,
): EngineReport => ({
	born: 1,
	sequence: 0,
	isBusy: false,
	running: 20 + (server % 7),
	waiting: 0,
	memoryUsed: 20_000,
	memoryTotal: 200_000,
	models: [
		{
			name: 'm',
			adapters: Object.fromEntries(
				Array.from({length: adapters}, (_, adapter) => adapter)
					.filter(
						adapter =>
							(server + servers - ((adapter * 7) % servers)) % servers <
							holders,
					)
					.map(adapter => [`a${adapter}`, 1]),
			),
		},
	],
	pending: [],
	promptDebt: (server % 5) * 300,
	prefillTokensPerMs: 19,
	...(reportsPace && {slowdown: server % 9 === 0 ? 2.5 : 1}),
});

function fleetOf(servers: number, reportsPace: boolean): FleetView {
	const fleet = FleetView.create({
		zone: 'z',
		isZoneOut: () => false,
		newestVersion: () => undefined,
		minVersion: () => 0,
		serviceOf: () => undefined,
		coldBound: () => 0,
		entryCount: () => entries,
		random: createRandom(1),
		onNewWant: () => undefined,
	});
	fleet.apply(
		Array.from({length: servers}, (_, i) => ({
			id: `e${i}`,
			rowVersion: 1,
			record: {
				id: `e${i}`,
				service: 's',
				address: `10.0.0.1:${i}`,
				zone: 'z',
				slots: 64,
				isDraining: false,
				coldLeftMs: 0,
				models: [{name: 'm', adapters: {}}],
			},
		})),
		0,
	);
	for (let i = 0; i < servers; i++) {
		fleet.noteReport(`e${i}`, reportOf(i, servers, reportsPace), 0);
	}

	return fleet;
}

const startOutput = (fleet: FleetView, i: number): OutputProgress =>
	fleet.startOutput({
		route: 'r',
		customer: `c${i % 16}`,
		adapter: `m/a${i % adapters}`,
		hintTokens: 100,
		maxTokens: 400,
	});

const needOf = (i: number, output: OutputProgress): ServerNeed => ({
	service: 's',
	model: 'm',
	adapter: `a${i % adapters}`,
	session: undefined,
	tokens: 1000,
	promptTokens: 700,
	maxPromptWaitMs: Number.POSITIVE_INFINITY,
	output,
	tried: new Set(),
});

function measureAt(
	{servers, choices}: {readonly servers: number; readonly choices: number},
	reportsPace: boolean,
): ChoiceCost {
	const fleet = fleetOf(servers, reportsPace);
	const now = 20;
	const choose = (i: number): string => {
		const choice = fleet.choose(needOf(i, startOutput(fleet, i)), now);
		if (choice.kind !== 'send') {
			throw new Error(`no engine was chosen: ${choice.kind}`);
		}

		return choice.server;
	};

	let leastMs = Number.POSITIVE_INFINITY;
	let leastRequestMs = Number.POSITIVE_INFINITY;
	for (let round = 0; round < rounds; round++) {
		const startedAt = performance.now();
		for (let i = 0; i < choices; i++) {
			choose(i);
		}

		leastMs = Math.min(leastMs, performance.now() - startedAt);
		leastRequestMs = Math.min(
			leastRequestMs,
			timeRequests(fleetOf(servers, reportsPace), servers, choices),
		);
	}

	return {
		servers,
		holders,
		reportsPace,
		microsecondsPerChoice: (leastMs / choices) * microsecondsInMs,
		microsecondsPerRequest: (leastRequestMs / choices) * microsecondsInMs,
	};
}

/** Notes the send, the events and the end of requests, a millisecond apart. Returns the milliseconds that this took. */
function timeRequests(
	fleet: FleetView,
	servers: number,
	requests: number,
): number {
	const startedAt = performance.now();
	for (let i = 0; i < requests; i++) {
		const now = i;
		const key = `m/a${i % adapters}`;
		const server = fleet.server(`e${i % servers}`)!;
		const output = startOutput(fleet, i);
		server.noteSent(key, now, output);
		for (let event = 0; event < eventsPerRequest; event++) {
			server.noteActivity(now);
			output.noteEvents(1, now + event);
		}

		output.end(true, now);
		server.noteEnded(key, output);
	}

	return performance.now() - startedAt;
}

/** Measures the choice among engines at the fleet size of one deployment, at ten times that and at the planned size. */
export function measureChoiceCost(): readonly ChoiceCost[] {
	return sizes.flatMap(size => [measureAt(size, false), measureAt(size, true)]);
}
