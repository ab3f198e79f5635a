import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import fc from 'fast-check';
import type {ServerStatus} from '../agent/types.js';
import {hashString, rendezvousScore} from '../common/rendezvous.js';
import {ConfigState} from '../config/config-state.js';
import type {ConfigOp} from '../config/types.js';
import type {AgentHost, Host} from '../membership/types.js';
import {
	failuresUntilSuspected,
	probeIntervalMs,
	slowStartMs,
} from './constants.js';
import {defaultRoutingPolicy} from './default-routing-policy.js';
import {naiveRoutingPolicy} from './naive-routing-policy.js';
import {Router} from './router.js';
import type {RoutingPolicy, RoutingQuery} from './types.js';

const now = 1_000_000;
const noServers: ReadonlySet<string> = new Set();
let config: ConfigState;

function apply(...ops: readonly ConfigOp[]): void {
	const version = config.version + 1;
	const result = config.applyChange({
		version,
		changeId: `c${version}`,
		author: 'test',
		writtenAt: 0,
		summary: '',
		ops,
	});
	assert.equal(result.kind, 'applied');
	config = result.state;
}

function hostOf(index: number, changes: Partial<AgentHost> = {}): AgentHost {
	return {
		role: 'agent',
		id: `s${index}`,
		zone: `z${index % 3}`,
		region: 'near',
		peerAddress: '10.0.0.1:1',
		state: 'live',
		backend: {kind: 'engine', baseModel: 'base'},
		...changes,
	};
}

function hostsOf(count: number): readonly AgentHost[] {
	return Array.from({length: count}, (_, i) => hostOf(i));
}

function hostsWithLeaving(
	count: number,
	leaving: string,
): readonly AgentHost[] {
	return hostsOf(count).map(host =>
		host.id === leaving ? {...host, state: 'leaving'} : host,
	);
}

function routerOf(
	hosts: readonly Host[],
	policy: RoutingPolicy = defaultRoutingPolicy,
): Router {
	const router = Router.create({
		entryId: 'e',
		region: 'near',
		view: () => config,
		policy,
	});
	router.updateHosts(hosts, now);
	return router;
}

function queryOf(
	subject: string,
	avoid: ReadonlySet<string> = noServers,
): RoutingQuery {
	const backend = {kind: 'engine', baseModel: 'base'} as const;
	return {subject, backend, avoid, timeLeftMs: 10_000};
}

function chosen(
	router: Router,
	subject: string,
	at = now,
	avoid?: ReadonlySet<string>,
): string | undefined {
	const choice = router.choose(queryOf(subject, avoid), at);
	return choice.kind === 'server' ? choice.host.id : undefined;
}

const anyHosts = fc.array(
	fc.record({
		state: fc.constantFrom('live' as const, 'leaving' as const),
		region: fc.constantFrom('near', 'far'),
		isPresent: fc.boolean(),
	}),
	{minLength: 1, maxLength: 30},
);

function statusOf(
	server: string,
	changes: Partial<ServerStatus> = {},
): ServerStatus {
	return {
		server,
		zone: 'z0',
		incarnation: 'i',
		configVersion: 1,
		backend: {kind: 'engine', baseModel: 'base'},
		isAcceptingWork: true,
		running: 0,
		queued: 0,
		window: 8,
		expectedWaitMs: 0,
		adapterState: 'resident',
		...changes,
	};
}

function makeSuspected(router: Router, server: string): void {
	for (let i = 0; i < failuresUntilSuspected; i++) {
		router.noteResult('any', server, 'failed');
	}
}

describe('Router', () => {
	beforeEach(() => {
		config = ConfigState.empty();
	});

	describe('without load', () => {
		it('chooses the first server of the fully sorted fleet after any changes of hosts, zones out and drained servers', () => {
			const property = fc.property(
				fc.array(anyHosts, {minLength: 1, maxLength: 4}),
				fc.subarray(['z0', 'z1', 'z2'], {maxLength: 2}),
				fc.subarray(['s0', 's1', 's2', 's3']),
				fc.string({minLength: 1, maxLength: 8}),
				checkAgainstSorted,
			);
			fc.assert(property, {numRuns: 1000, seed: 7});
		});

		it('spreads adapters over all servers', () => {
			const router = routerOf(hostsOf(12));
			const counts = new Map<string, number>();
			for (let i = 0; i < 3000; i++) {
				const server = chosen(router, `adapter-${i}`)!;
				counts.set(server, (counts.get(server) ?? 0) + 1);
			}

			assert.equal(counts.size, 12);
			assert.ok([...counts.values()].every(count => count < 350));
		});
	});

	describe('with load', () => {
		it('keeps an adapter on one server at low demand and spreads it under high demand', () => {
			const router = routerOf(hostsOf(12));
			const used = new Set<string>();
			for (let i = 0; i < 40; i++) {
				const server = chosen(router, 'hot')!;
				router.noteDispatch('hot', server, now);
				used.add(server);
			}

			assert.ok(used.size > 1 && used.size < 12, `used ${used.size}`);
			const cold = new Set<string>();
			for (let i = 0; i < 3; i++) {
				const server = chosen(router, 'cold')!;
				router.noteDispatch('cold', server, now);
				cold.add(server);
			}

			assert.equal(cold.size, 1);
		});

		it('prefers the next server to a long wait', () => {
			const router = routerOf(hostsOf(12));
			const first = chosen(router, 'a')!;
			const status = statusOf(first, {expectedWaitMs: 4000, queued: 40});
			router.noteStatus({status, subject: 'a'}, now);
			assert.notEqual(chosen(router, 'a'), first);
			assert.equal(chosen(router, 'a', now + 10_000), first);
		});

		it("uses the expected wait of the request's customer", () => {
			const router = routerOf(hostsOf(12));
			const first = chosen(router, 'a')!;
			const status = statusOf(first, {
				expectedWaitMs: 9000,
				lightWaitMs: 0,
				customerWaitsMs: {busy: 9000},
			});
			router.noteStatus({status, subject: 'a'}, now);
			const query = queryOf('a');
			const chosenFor = (customer: string) =>
				router.choose({...query, customer}, now);
			assert.notDeepEqual(chosenFor('busy'), chosenFor('light'));
			const light = chosenFor('light');
			assert.equal(light.kind === 'server' && light.host.id, first);
		});

		it('reports a retry delay when every server would miss the deadline', () => {
			const router = routerOf(hostsOf(2));
			for (const server of ['s0', 's1']) {
				const status = statusOf(server, {expectedWaitMs: 60_000});
				router.noteStatus({status}, now);
			}

			const choice = router.choose(queryOf('a'), now);
			assert.deepEqual(choice, {kind: 'tooLate', retryAfterMs: 50_000});
		});
	});

	describe('failures', () => {
		it('rank a server last after three in a row until a probe succeeds', () => {
			const router = routerOf(hostsOf(12));
			const first = chosen(router, 'a')!;
			makeSuspected(router, first);
			assert.notEqual(chosen(router, 'a'), first);
			assert.deepEqual(router.takeDueProbes(now), [first]);
			assert.deepEqual(router.takeDueProbes(now), []);
			assert.equal(router.nextProbeAt(), now + probeIntervalMs);
			router.noteProbe(first, true);
			assert.equal(chosen(router, 'a'), first);
			assert.equal(router.nextProbeAt(), undefined);
		});

		it('do not make a server suspected when a success comes between them', () => {
			const router = routerOf(hostsOf(12));
			const first = chosen(router, 'a')!;
			for (let i = 0; i < 10; i++) {
				router.noteResult('a', first, i % 3 === 2 ? 'succeeded' : 'failed');
			}

			assert.equal(router.suspected.size, 0);
		});

		it('do not exclude a server when all servers are suspected', () => {
			const router = routerOf(hostsOf(2));
			makeSuspected(router, 's0');
			makeSuspected(router, 's1');
			assert.ok(chosen(router, 'a') !== undefined);
			assert.equal(chosen(router, 'a', now, new Set(['s0'])), 's1');
		});
	});

	describe('a returning zone', () => {
		it('gets its adapters back gradually', () => {
			const router = routerOf(hostsOf(12));
			const subjects = Array.from({length: 600}, (_, i) => `adapter-${i}`);
			const before = subjects.map(subject => chosen(router, subject));
			apply({op: 'takeZoneOut', zone: 'z0'});
			router.updateConfig(now);
			const countBack = (at: number) =>
				subjects.filter(
					(subject, i) => chosen(router, subject, at) === before[i],
				).length;
			const away = countBack(now);
			apply({op: 'bringZoneIn', zone: 'z0'});
			router.updateConfig(now);
			const counts = [0, 0.25, 0.5, 0.75].map(part =>
				countBack(now + part * slowStartMs),
			);
			assert.ok(counts.every((count, i) => count > (counts[i - 1] ?? away)));
			assert.ok(counts[0]! - away < 0.2 * (600 - away));
			assert.equal(countBack(now + slowStartMs), 600);
		});
	});

	describe('a returning server that refused its last requests', () => {
		const subjects = Array.from({length: 60}, (_, i) => `adapter-${i}`);

		/** Runs one request for each adapter, after which the chosen server holds it. */
		function serveAll(router: Router, at: number): ReadonlyMap<string, string> {
			return new Map(
				subjects.map(subject => {
					const server = chosen(router, subject, at)!;
					router.noteDispatch(subject, server, at);
					router.noteStatus({status: statusOf(server), subject}, at);
					router.noteAnswered(server);
					router.noteEnd(subject, server);
					return [subject, server];
				}),
			);
		}

		/** The agent learns first that it is out of service, and refuses requests of entries that do not know yet. */
		function refuseAll(router: Router, server: string): void {
			for (const subject of subjects) {
				router.noteResult(subject, server, 'refused');
			}
		}

		function checkReturn(
			leave: (router: Router) => void,
			comeBack: (router: Router) => void,
		): void {
			const router = routerOf(hostsOf(3));
			const before = serveAll(router, now);
			refuseAll(router, 's1');
			leave(router);
			assert.ok(!new Set(serveAll(router, now).values()).has('s1'));
			comeBack(router);
			// Requests keep coming during the slow start.
			for (let part = 0; part < 1; part += 0.05) {
				serveAll(router, now + part * slowStartMs);
			}

			assert.deepEqual(serveAll(router, now + slowStartMs - 1), before);
		}

		it('gets them back within the slow start after it was drained', () => {
			checkReturn(
				router => {
					apply({op: 'drainServer', server: 's1'});
					router.updateConfig(now);
				},
				router => {
					apply({op: 'undrainServer', server: 's1'});
					router.updateConfig(now);
				},
			);
		});

		it('gets them back within the slow start after its zone was out', () => {
			checkReturn(
				router => {
					apply({op: 'takeZoneOut', zone: 'z1'});
					router.updateConfig(now);
				},
				router => {
					apply({op: 'bringZoneIn', zone: 'z1'});
					router.updateConfig(now);
				},
			);
		});

		it('gets them back within the slow start after the platform listed it as leaving', () => {
			checkReturn(
				router => {
					router.updateHosts(hostsWithLeaving(3, 's1'), now);
				},
				router => {
					router.updateHosts(hostsOf(3), now);
				},
			);
		});
	});

	describe('the naive policy', () => {
		it('chooses the server with the fewest connections', () => {
			const router = routerOf(hostsOf(3), naiveRoutingPolicy);
			const used = new Set<string>();
			for (let i = 0; i < 3; i++) {
				const server = chosen(router, 'a')!;
				router.noteDispatch('a', server, now);
				used.add(server);
			}

			assert.equal(used.size, 3);
		});
	});

	describe('the tracked state', () => {
		it('stays bounded with any number of servers and adapters', () => {
			const router = routerOf(hostsOf(4000));
			for (let i = 0; i < 20_000; i++) {
				const server = chosen(router, `adapter-${i}`)!;
				router.noteDispatch(`adapter-${i}`, server, now);
				router.noteAnswered(server);
				router.noteEnd(`adapter-${i}`, server);
			}

			const {servers, subjects} = router.sizes();
			assert.ok(servers <= 2048 && subjects <= 16_384);
		});
	});
});

type HostDraft = {
	readonly state: 'live' | 'leaving';
	readonly region: string;
	readonly isPresent: boolean;
};

/** Applies the host lists one after another, then compares the choice with the reference implementation. */
function checkAgainstSorted(
	lists: ReadonlyArray<readonly HostDraft[]>,
	zonesOut: readonly string[],
	drained: readonly string[],
	subject: string,
): void {
	config = ConfigState.empty();
	apply(
		...zonesOut.map(zone => ({op: 'takeZoneOut', zone}) as const),
		...drained.map(server => ({op: 'drainServer', server}) as const),
	);
	const router = routerOf([]);
	let hosts: readonly AgentHost[] = [];
	for (const list of lists) {
		hosts = list.flatMap(({state, region, isPresent}, i) =>
			isPresent ? [hostOf(i, {state, region})] : [],
		);
		router.updateHosts(hosts, now - 2 * slowStartMs);
		// Fills the preference cache, which the next host list must invalidate.
		chosen(router, subject);
	}

	const expected = firstOfSorted(hosts, subject, zonesOut, drained);
	assert.equal(chosen(router, subject), expected);
}

/** Reference implementation: sorts all servers in service by region and rendezvous score. */
function firstOfSorted(
	hosts: readonly AgentHost[],
	subject: string,
	zonesOut: readonly string[],
	drained: readonly string[],
): string | undefined {
	const scoreOf = (host: AgentHost) =>
		rendezvousScore(hashString(subject), hashString(host.id));
	const [first] = hosts
		.filter(
			host =>
				host.state === 'live' &&
				!zonesOut.includes(host.zone) &&
				!drained.includes(host.id),
		)
		.toSorted(
			(a, b) =>
				Number(a.region !== 'near') - Number(b.region !== 'near') ||
				scoreOf(b) - scoreOf(a),
		);
	return first?.id;
}
