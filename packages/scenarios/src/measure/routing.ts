import {performance} from 'node:perf_hooks';
import {
	ConfigState,
	createRandom,
	defaultRoutingPolicy,
	naiveRoutingPolicy,
	Router,
	type AgentHost,
	type Random,
	type RoutingPolicy,
	type RoutingQuery,
} from '@balsamtray/core';
import {heapBytes} from './capacity/heap.js';

/** Sizes of the measurement. */
export type RoutingMeasureOptions = {
	readonly seed: number;
	readonly serverCounts: readonly number[];
	readonly adapters: number;
	readonly decisions: number;
};

/** Cost of routing with one policy and one number of servers. */
export type RoutingMeasurement = {
	readonly policy: string;
	readonly servers: number;
	readonly adapters: number;
	/** Mean time of a decision for an adapter that was routed before. */
	readonly microsecondsEach: number;
	/** Mean time of the first decision for an adapter after a change of the host list. */
	readonly microsecondsFirst: number;
	/** Time to process a host list in which one server changed. */
	readonly hostListMs: number;
	/** Heap that the router uses, without the host list. */
	readonly stateBytes: number;
};

const defaults: RoutingMeasureOptions = {
	seed: 1,
	serverCounts: [12, 1000, 10_000],
	adapters: 11_000,
	decisions: 200_000,
};

const regionCount = 7;
const zoneCount = 15;
const maxInFlight = 400;
const noAvoidedServers: ReadonlySet<string> = new Set();
const microsecondsInMs = 1000;

/**
 * Measures the time of a routing decision and the memory behind it, for both policies and each number of servers.
 * The naive policy scans the whole fleet, so it makes a hundredth of the decisions.
 */
export function measureRouting(
	options: Partial<RoutingMeasureOptions> = {},
): readonly RoutingMeasurement[] {
	const resolvedOptions = {...defaults, ...options};
	return resolvedOptions.serverCounts.flatMap(servers => [
		measure(defaultRoutingPolicy, servers, resolvedOptions),
		measure(naiveRoutingPolicy, servers, {
			...resolvedOptions,
			decisions: Math.ceil(resolvedOptions.decisions / 100),
		}),
	]);
}

function measure(
	policy: RoutingPolicy,
	servers: number,
	{seed, adapters, decisions}: RoutingMeasureOptions,
): RoutingMeasurement {
	const random = createRandom(seed);
	const hosts = hostsOf(servers);
	const before = heapBytes();
	const config = ConfigState.empty();
	const router = Router.create({
		entryId: 'e1',
		region: 'region-0',
		view: () => config,
		policy,
	});
	router.updateHosts(hosts, 0);
	const subjects = Array.from({length: adapters}, (_, i) => `adapter-${i}@v1`);
	const firstPass =
		policy === defaultRoutingPolicy ? subjects : subjects.slice(0, 100);
	const microsecondsFirst = timeDecisions(router, firstPass);
	const randomSubjects = Array.from(
		{length: decisions},
		() => subjects[randomRank(random, adapters)]!,
	);
	const microsecondsEach = timeDecisions(router, randomSubjects);
	const stateBytes = heapBytes() - before;
	const hostListMs = timeHostList(router, hosts);
	return {
		policy: policy.name,
		servers,
		adapters,
		microsecondsEach,
		microsecondsFirst,
		hostListMs,
		stateBytes,
	};
}

/** Routes each subject with up to `maxInFlight` dispatches in flight. Returns microseconds per decision. */
function timeDecisions(router: Router, subjects: readonly string[]): number {
	const inFlight: Array<readonly [string, string]> = [];
	const startedAt = performance.now();
	for (const subject of subjects) {
		const choice = router.choose(queryOf(subject), startedAt);
		if (choice.kind === 'server') {
			router.noteDispatch(subject, choice.host.id, startedAt);
			inFlight.push([subject, choice.host.id]);
		}

		if (inFlight.length > maxInFlight) {
			const [ended, server] = inFlight.shift()!;
			router.noteAnswered(server);
			router.noteEnd(ended, server);
		}
	}

	const spentMs = performance.now() - startedAt;
	for (const [subject, server] of inFlight) {
		router.noteAnswered(server);
		router.noteEnd(subject, server);
	}

	return (spentMs * microsecondsInMs) / subjects.length;
}

function timeHostList(router: Router, hosts: readonly AgentHost[]): number {
	const changed = hosts.map((host, i) =>
		i === 0 ? {...host, state: 'leaving' as const} : {...host},
	);
	const startedAt = performance.now();
	router.updateHosts(changed, startedAt);
	return performance.now() - startedAt;
}

function queryOf(subject: string): RoutingQuery {
	return {
		subject,
		backend: {kind: 'engine', baseModel: 'base'},
		avoid: noAvoidedServers,
		timeLeftMs: 30_000,
	};
}

function hostsOf(count: number): readonly AgentHost[] {
	return Array.from({length: count}, (_, i) => {
		const zone = i % zoneCount;
		return {
			role: 'agent',
			id: `server-${i}`,
			zone: `zone-${zone}`,
			region: `region-${count < 100 ? 0 : zone % regionCount}`,
			peerAddress: `10.${Math.floor(i / 256)}.${i % 256}.1:9000`,
			state: 'live',
			backend: {kind: 'engine', baseModel: 'base'},
		};
	});
}

/** Returns a random rank with a probability proportional to its inverse, because few adapters are hot. */
function randomRank(random: Random, count: number): number {
	return Math.floor(count ** random()) - 1;
}
