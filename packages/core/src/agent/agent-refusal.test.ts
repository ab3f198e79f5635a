import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ConfigView} from '../config/types.js';
import {AgentCore} from './agent-core.js';
import type {
	AgentCommand,
	AgentEvent,
	BackendHealth,
	Dispatch,
} from './types.js';

const none = () => undefined;

const view: ConfigView = {
	version: 5,
	documentDigest: '',
	customer: none,
	adapter: none,
	route: none,
	key: none,
	isKeyWithdrawn: () => false,
	isZoneOut: zone => zone === 'out',
	isServerDrained: server => server === 'drained',
	lastChangeVersion: subject => (subject === 'customer:moved' ? 5 : 0),
	customers: () => [],
	adapters: () => [],
	routes: () => [],
	toSnapshot() {
		throw new Error('not used');
	},
};

const dispatch: Dispatch = {
	attemptId: 'a1',
	requestId: 'r1',
	entryId: 'e1',
	configVersion: 5,
	customer: 'c1',
	weight: 1,
	target: {kind: 'adapter', adapter: 'm1', version: '1', weights: 'w1'},
	isRepeatable: true,
	promptTokens: 10,
	maxTokens: 10,
	timeLeftMs: 1000,
	fingerprint: 'f1',
};

/** Drives a core whose clock advances by one millisecond with each event. */
class Driver {
	static create(place: {server?: string; zone?: string} = {}): Driver {
		const driver = new Driver(
			AgentCore.create({
				settings: {
					server: place.server ?? 's1',
					zone: place.zone ?? 'z1',
					incarnation: 'i1',
					backend: {kind: 'engine', baseModel: 'base'},
					limits: {
						adapterSlots: 2,
						coldWindow: 1,
						maxWindow: 4,
						maxQueued: 4,
						loadTimeoutMs: 1000,
					},
				},
				config: () => view,
			}),
		);
		driver.healthy('b1', ['m1@1']);
		return driver;
	}

	now = 0;

	private constructor(private readonly _core: AgentCore) {}

	handle(event: AgentEvent): readonly AgentCommand[] {
		this.now++;
		return this._core.handle(event, this.now);
	}

	healthy(
		bootId: string,
		loadedAdapters: readonly string[],
	): readonly AgentCommand[] {
		const health: BackendHealth = {bootId, uptimeMs: this.now, loadedAdapters};
		return this.handle({type: 'backendHealthy', health, askedAt: this.now});
	}

	dispatch(changes: Partial<Dispatch>): readonly AgentCommand[] {
		return this.handle({
			type: 'dispatchArrived',
			dispatch: {...dispatch, ...changes},
		});
	}

	/** Runs a request on a boot that crashes while it runs. */
	crash(attemptId: string, fingerprint: string, nextBootId: string): void {
		const [run] = this.dispatch({attemptId, fingerprint});
		assert.equal(run?.type, 'runOnBackend');
		this.handle({type: 'answerFailed', attemptId, fault: 'connection_lost'});
		this.handle({type: 'backendUnreachable'});
		this.healthy(nextBootId, ['m1@1']);
	}
}

function refusalsOf(commands: readonly AgentCommand[]) {
	return commands
		.filter(command => command.type === 'refuse')
		.map(({attemptId, refusal, changesAfter}) => ({
			attemptId,
			code: refusal.code,
			notRun: refusal.notRun,
			retryAfterMs: refusal.retryAfterMs,
			changesAfter,
		}));
}

describe('AgentCore refusals', () => {
	describe('after a broken connection', () => {
		function loseAnswer(): Driver {
			const driver = Driver.create();
			const [run] = driver.dispatch({});
			assert.equal(run?.type, 'runOnBackend');
			const fault = 'connection_lost';
			const lost = driver.handle({
				type: 'answerFailed',
				attemptId: 'a1',
				fault,
			});
			assert.deepEqual(
				lost.map(({type}) => type),
				['checkHealth'],
			);
			return driver;
		}

		it('reports a cut answer if the backend server is alive', () => {
			const [refusal] = refusalsOf(loseAnswer().healthy('b1', ['m1@1']));
			assert.equal(refusal?.code, 'answer_cut');
			assert.equal(refusal.notRun, false);
		});

		it('reports a failed backend server if it restarted or is unreachable', () => {
			const [restarted] = refusalsOf(loseAnswer().healthy('b2', ['m1@1']));
			assert.equal(restarted?.code, 'backend_failed');
			const [unreachable] = refusalsOf(
				loseAnswer().handle({type: 'backendUnreachable'}),
			);
			assert.equal(unreachable?.code, 'backend_failed');
			assert.equal(unreachable.notRun, false);
		});
	});

	describe('based on the configuration', () => {
		it('carry the version of the entry if it lacks a change that affects the request', () => {
			const [refusal] = refusalsOf(
				Driver.create().dispatch({customer: 'moved', configVersion: 3}),
			);
			assert.equal(refusal?.code, 'configuration_behind');
			assert.equal(refusal.changesAfter, 3);
		});

		it('do not apply to a request that the newer changes do not affect', () => {
			const [run] = Driver.create().dispatch({configVersion: 3});
			assert.equal(run?.type, 'runOnBackend');
		});

		it('apply in a zone that is out and on a drained or leaving server', () => {
			const out = Driver.create({zone: 'out'}).dispatch({});
			assert.equal(refusalsOf(out)[0]?.code, 'zone_out');
			const drained = Driver.create({server: 'drained'}).dispatch({});
			assert.equal(refusalsOf(drained)[0]?.code, 'server_leaving');
			const driver = Driver.create();
			driver.dispatch({attemptId: 'running'});
			driver.dispatch({attemptId: 'waiting'});
			const leaving = driver.handle({
				type: 'hostStateChanged',
				isLeaving: true,
			});
			assert.deepEqual(
				refusalsOf(leaving).map(({attemptId, code}) => [attemptId, code]),
				[['waiting', 'server_leaving']],
			);
		});
	});

	describe('of requests that cannot run in time', () => {
		it('happen at the deadline, with a retry delay', () => {
			const driver = Driver.create();
			driver.dispatch({attemptId: 'running'});
			driver.dispatch({attemptId: 'waiting', timeLeftMs: 50});
			driver.now = 52;
			const [refusal] = refusalsOf(driver.handle({type: 'tick'}));
			assert.equal(refusal?.attemptId, 'waiting');
			assert.equal(refusal.code, 'deadline_exceeded');
			assert.ok(refusal.notRun && refusal.retryAfterMs! > 0);
		});

		it('happen immediately if the estimated wait exceeds the time left', () => {
			const driver = Driver.create();
			for (let i = 0; i < 6; i++) {
				const attemptId = `a${i}`;
				driver.dispatch({attemptId});
				driver.now += 200;
				driver.handle({
					type: 'answerCompleted',
					attemptId,
					usage: {promptTokens: 10, completionTokens: 10},
				});
				driver.healthy('b1', ['m1@1']);
			}

			for (let i = 0; i < 4; i++) {
				driver.dispatch({attemptId: `busy${i}`});
			}

			const [refusal] = refusalsOf(
				driver.dispatch({attemptId: 'late', timeLeftMs: 10}),
			);
			assert.equal(refusal?.code, 'deadline_unreachable');
			assert.ok(refusal.notRun && refusal.retryAfterMs! > 0);
		});

		it('happen immediately if the queue is full', () => {
			const driver = Driver.create();
			driver.dispatch({attemptId: 'running'});
			for (let i = 0; i < 4; i++) {
				const commands = driver.dispatch({attemptId: `waiting${i}`});
				assert.deepEqual(refusalsOf(commands), []);
			}

			const [refusal] = refusalsOf(driver.dispatch({attemptId: 'more'}));
			assert.equal(refusal?.code, 'overloaded');
			assert.ok(refusal.notRun && refusal.retryAfterMs! > 0);
		});
	});

	describe('after failed loads', () => {
		it('start after the second failure for all waiting requests, and continue during the backoff', () => {
			const driver = Driver.create();
			const target = {
				kind: 'adapter',
				adapter: 'm2',
				version: '1',
				weights: 'w2',
			} as const;
			const [first] = driver.dispatch({
				attemptId: 'a1',
				target,
				timeLeftMs: 9000,
			});
			assert.ok(first?.type === 'loadAdapter');
			const [unload] = driver.handle({
				type: 'loadFailed',
				loadId: first.loadId,
				reason: '',
			});
			assert.ok(unload?.type === 'unloadAdapter');
			driver.now += 1000;
			const [second] = driver.handle({
				type: 'unloadCompleted',
				loadId: unload.loadId,
			});
			assert.ok(second?.type === 'loadAdapter');
			const refused = driver.handle({
				type: 'loadFailed',
				loadId: second.loadId,
				reason: '',
			});
			assert.deepEqual(
				refusalsOf(refused).map(({attemptId, code, notRun}) => [
					attemptId,
					code,
					notRun,
				]),
				[['a1', 'load_failed', true]],
			);
			const [next] = refusalsOf(driver.dispatch({attemptId: 'a2', target}));
			assert.equal(next?.code, 'load_failed');
		});
	});

	describe('of requests that crash backend servers', () => {
		it('start after the second crash and exclude requests that ran during only one', () => {
			const driver = Driver.create();
			driver.crash('a1', 'poison', 'b2');
			driver.crash('a2', 'innocent', 'b3');
			driver.crash('a3', 'poison', 'b4');
			const [poison] = refusalsOf(
				driver.dispatch({attemptId: 'a4', fingerprint: 'poison'}),
			);
			assert.equal(poison?.code, 'quarantined');
			assert.ok(poison.notRun && poison.retryAfterMs! > 0);
			const [innocent] = driver.dispatch({
				attemptId: 'a5',
				fingerprint: 'innocent',
			});
			assert.equal(innocent?.type, 'runOnBackend');
		});

		it('do not count a running request as a suspect until its unresponsive server has restarted', () => {
			const driver = Driver.create();
			driver.dispatch({attemptId: 'a1'});
			const silent = [
				...driver.handle({type: 'backendUnreachable'}),
				...driver.handle({type: 'backendUnreachable'}),
			];
			assert.ok(silent.every(({type}) => type !== 'reportSuspects'));
			const [refusal] = refusalsOf(driver.dispatch({attemptId: 'a2'}));
			assert.equal(refusal?.code, 'backend_failed');
			const restarted = driver.healthy('b2', ['m1@1']);
			const report = restarted.find(({type}) => type === 'reportSuspects');
			assert.deepEqual(report, {
				type: 'reportSuspects',
				fingerprints: ['f1'],
				bootId: 'b1',
			});
		});

		it('apply to requests that another process reported as quarantined, until the quarantine ends', () => {
			const driver = Driver.create();
			driver.handle({
				type: 'quarantineLearned',
				fingerprint: 'f1',
				forMs: 1000,
			});
			assert.equal(refusalsOf(driver.dispatch({}))[0]?.code, 'quarantined');
			driver.now += 1000;
			const [run] = driver.dispatch({attemptId: 'a2'});
			assert.equal(run?.type, 'runOnBackend');
		});
	});
});
