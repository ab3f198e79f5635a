import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import type {ServerStatus} from '../agent/types.js';
import {ConfigState} from '../config/config-state.js';
import type {ConfigOp} from '../config/types.js';
import type {AgentHost} from '../membership/types.js';
import {refuseMaybeRun, refuseNotRun} from '../refusal/refusals.js';
import {
	retryBudgetCapacity,
	quarantineMs,
	retriesPerDispatch,
} from './constants.js';
import {EntryCore} from './entry-core.js';
import type {EntryCommand, EntryEvent, EntryRequest} from './types.js';

const now = 1000;
let config: ConfigState;
let core: EntryCore;

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

function host(id: string): AgentHost {
	return {
		role: 'agent',
		id,
		zone: 'z',
		region: 'r',
		peerAddress: '10.0.0.1:1',
		state: 'live',
		backend: {kind: 'engine', baseModel: 'base'},
	};
}

function statusOf(server: string, configVersion: number): ServerStatus {
	return {
		server,
		zone: 'z',
		incarnation: 'i',
		configVersion,
		backend: {kind: 'engine', baseModel: 'base'},
		isAcceptingWork: true,
		running: 0,
		queued: 0,
		window: 8,
		expectedWaitMs: 0,
		adapterState: 'resident',
	};
}

function post(event: EntryEvent, at = now): readonly EntryCommand[] {
	return core.handle(event, at);
}

function requestOf(
	requestId: string,
	changes: Partial<EntryRequest> = {},
): EntryRequest {
	return {
		requestId,
		credential: {kind: 'key', keyId: 'k', customer: 'c'},
		work: {kind: 'model', model: 'a', promptTokens: 1, maxTokens: 1},
		bodyDigest: 'd',
		deadlineAt: now + 1000,
		...changes,
	};
}

function arrive(
	requestId: string,
	changes?: Partial<EntryRequest>,
): readonly EntryCommand[] {
	return post({
		type: 'requestArrived',
		request: requestOf(requestId, changes),
	});
}

/** Sends a request, reserves its tokens and returns its first dispatch. */
function dispatch(requestId: string, changes?: Partial<EntryRequest>) {
	arrive(requestId, changes);
	return dispatchIn(post({type: 'tokensReserved', requestId}));
}

function dispatchIn(commands: readonly EntryCommand[]) {
	const command = commands.find(({type}) => type === 'dispatch');
	assert.ok(command?.type === 'dispatch');
	return command;
}

function refusalIn(commands: readonly EntryCommand[]) {
	const command = commands.find(({type}) => type === 'refuse');
	assert.ok(command?.type === 'refuse');
	return command.refusal;
}

function fail(
	attemptId: string,
	kind: 'notDelivered' | 'lost',
): readonly EntryCommand[] {
	return post({type: 'dispatchFailed', attemptId, fault: {kind}});
}

/** Reports that the backend server crashed while it ran the attempt. */
function crash(attemptId: string, peer: string): readonly EntryCommand[] {
	const refusal = refuseMaybeRun('backend_failed', {step: 'backend', peer});
	return post({type: 'dispatchRefused', attemptId, refusal, changes: []});
}

/** Reports that a running backend server broke off its answer. */
function cut(attemptId: string): readonly EntryCommand[] {
	const refusal = refuseMaybeRun('answer_cut', {step: 'answer', peer: 'p'});
	return post({type: 'dispatchRefused', attemptId, refusal, changes: []});
}

describe('EntryCore', () => {
	beforeEach(() => {
		config = ConfigState.empty();
		const key = {salt: '', digest: '', issuedAt: 0};
		const customer = {tokensPerSecond: 1, burstTokens: 1, weight: 2};
		const adapter = {
			baseModel: 'base',
			versions: [
				{name: 'v1', weights: 'w1'},
				{name: 'v2', weights: 'w2'},
			],
			currentVersion: 'v2',
		};
		apply(
			{op: 'putCustomer', customer: {name: 'c', ...customer}},
			{op: 'putCustomer', customer: {name: 'other', ...customer}},
			{op: 'putAdapter', adapter: {name: 'a', customers: [], ...adapter}},
			{
				op: 'putAdapter',
				adapter: {name: 'private', customers: ['other'], ...adapter},
			},
			{
				op: 'putRoute',
				route: {
					name: 'open',
					target: {kind: 'adapter', adapter: 'private', version: 'v1'},
					openCustomer: 'other',
					customers: [],
					isRepeatable: true,
					tokensPerCall: 0,
				},
			},
			{op: 'issueKey', key: {id: 'k', customer: 'c', ...key}},
		);
		core = EntryCore.create({
			entryId: 'e',
			region: 'r',
			view: () => config,
			now,
		});
		const hosts = ['s1', 's2', 's3', 's4'].map(id => host(id));
		post({type: 'membershipChanged', hosts});
	});

	describe('authorizing', () => {
		it('dispatches the current version unless the request names one', () => {
			const current = dispatch('q1').dispatch.target;
			assert.ok(current.kind === 'adapter' && current.version === 'v2');
			const work = {
				kind: 'model',
				model: 'a@v1',
				promptTokens: 1,
				maxTokens: 1,
			} as const;
			const named = dispatch('q2', {work}).dispatch.target;
			assert.ok(named.kind === 'adapter' && named.version === 'v1');
		});

		it('refuses forbidden models, unknown models and requests without a key', () => {
			const codes = (model: string, changes?: Partial<EntryRequest>) => {
				const work = {
					kind: 'model',
					model,
					promptTokens: 1,
					maxTokens: 1,
				} as const;
				return refusalIn(arrive(`q-${model}`, {work, ...changes})).code;
			};

			assert.equal(codes('private'), 'forbidden');
			assert.equal(codes('nothing'), 'unknown_model');
			assert.equal(codes('a@v9'), 'unknown_model');
			const credential = {kind: 'none'} as const;
			assert.equal(codes('a', {credential}), 'unauthorized');
			assert.equal(codes('hidden', {credential}), 'unauthorized');
		});

		it('bills a request to an open route to the `openCustomer` of the route', () => {
			const work = {
				kind: 'model',
				model: 'open',
				promptTokens: 1,
				maxTokens: 1,
			} as const;
			const command = dispatch('q', {work, credential: {kind: 'none'}});
			assert.equal(command.dispatch.customer, 'other');
			assert.equal(command.dispatch.keyId, undefined);
		});
	});

	describe('a request whose key is withdrawn', () => {
		it('is refused before the dispatch', () => {
			arrive('q');
			apply({op: 'withdrawKey', keyId: 'k'});
			const refusal = refusalIn(post({type: 'configAdvanced'}));
			assert.equal(refusal.code, 'unauthorized');
			assert.equal(refusal.notRun, true);
			const after = post({type: 'tokensReserved', requestId: 'q'});
			assert.deepEqual(
				after.map(({type}) => type),
				['returnTokens'],
			);
		});

		it('is cancelled after the dispatch, and so is its late answer', () => {
			const {attemptId} = dispatch('q').dispatch;
			apply({op: 'withdrawKey', keyId: 'k'});
			const commands = post({type: 'configAdvanced'});
			assert.ok(commands.some(({type}) => type === 'cancelDispatch'));
			assert.equal(refusalIn(commands).notRun, false);
			const late = post({
				type: 'answerStarted',
				attemptId,
				status: statusOf('s1', 1),
			});
			assert.deepEqual(late, [{type: 'cancelDispatch', attemptId}]);
		});

		it('finishes an answer that is already streaming', () => {
			const {attemptId} = dispatch('q').dispatch;
			post({type: 'answerStarted', attemptId, status: statusOf('s1', 1)});
			apply({op: 'withdrawKey', keyId: 'k'});
			assert.deepEqual(post({type: 'configAdvanced'}), []);
			const usage = {promptTokens: 1, completionTokens: 1};
			const end = post({type: 'answerCompleted', attemptId, usage});
			assert.ok(end.some(({type}) => type === 'finishAnswer'));
		});
	});

	describe('an agent that has a newer configuration', () => {
		function refuseAsBehind(attemptId: string): readonly EntryCommand[] {
			return post({
				type: 'dispatchRefused',
				attemptId,
				refusal: refuseNotRun('configuration_behind', {
					step: 'admit',
					peer: 's1',
				}),
				status: statusOf('s1', 2),
				changes: [],
			});
		}

		it('makes the entry dispatch again once it has the newer configuration', () => {
			const {attemptId} = dispatch('q').dispatch;
			assert.deepEqual(refuseAsBehind(attemptId), []);
			apply({op: 'drainServer', server: 's9'});
			const again = dispatchIn(post({type: 'configAdvanced'}));
			assert.equal(again.dispatch.configVersion, 2);
			assert.notEqual(again.dispatch.attemptId, attemptId);
		});

		it('makes the entry refuse a key that the newer configuration withdraws', () => {
			const {attemptId} = dispatch('q').dispatch;
			refuseAsBehind(attemptId);
			apply({op: 'withdrawKey', keyId: 'k'});
			const refusal = refusalIn(post({type: 'configAdvanced'}));
			assert.equal(refusal.code, 'unauthorized');
			assert.equal(refusal.notRun, true);
		});

		it('makes the entry refuse the request as not run if the changes do not arrive', () => {
			const {attemptId} = dispatch('q').dispatch;
			refuseAsBehind(attemptId);
			const wakeAt = core.nextWakeAt();
			assert.ok(wakeAt !== undefined && wakeAt < now + 1000);
			const refusal = refusalIn(post({type: 'tick'}, wakeAt));
			assert.equal(refusal.code, 'configuration_behind');
			assert.equal(refusal.notRun, true);
		});
	});

	describe('an agent that has no configuration yet', () => {
		it('refuses the dispatch, and the request is retried on another server', () => {
			const first = dispatch('q');
			const refusal = refuseNotRun('configuration_unavailable', {
				step: 'admit',
				peer: first.server,
			});
			const second = dispatchIn(
				post({
					type: 'dispatchRefused',
					attemptId: first.dispatch.attemptId,
					refusal,
					changes: [],
				}),
			);
			assert.notEqual(second.server, first.server);
		});
	});

	describe('retries', () => {
		it('go to another server after a failed dispatch', () => {
			const first = dispatch('q');
			const second = dispatchIn(fail(first.dispatch.attemptId, 'lost'));
			assert.notEqual(second.server, first.server);
		});

		it('stay within the budget when every server refuses connections', () => {
			const requests = 1000;
			let dispatches = 0;
			const open: string[] = [];
			for (let i = 0; i < requests; i++) {
				open.push(dispatch(`q${i}`).dispatch.attemptId);
			}

			for (;;) {
				const attemptId = open.shift();
				if (attemptId === undefined) {
					break;
				}

				dispatches++;
				for (const command of fail(attemptId, 'notDelivered')) {
					if (command.type === 'dispatch') {
						open.push(command.dispatch.attemptId);
					}
				}
			}

			assert.ok(dispatches > requests);
			const allowed = retryBudgetCapacity + requests * retriesPerDispatch;
			assert.ok(dispatches <= requests + allowed, `${dispatches} dispatches`);
		});

		it('run at most one suspect per server and let the others wait', () => {
			const crashed = ['q1', 'q2', 'q3', 'q4', 'q5'].map(id =>
				dispatch(id, {bodyDigest: id, deadlineAt: now + 10_000}),
			);
			const retried = crashed.flatMap(({dispatch: {attemptId}, server}) =>
				crash(attemptId, server),
			);
			const dispatches = retried.filter(({type}) => type === 'dispatch');
			assert.ok(!retried.some(({type}) => type === 'refuse'));
			const servers = dispatches.map(
				command => command.type === 'dispatch' && command.server,
			);
			assert.equal(new Set(servers).size, servers.length);
			assert.ok(servers.length < crashed.length);
			const [first] = dispatches;
			assert.ok(first?.type === 'dispatch');
			const {attemptId} = first.dispatch;
			const status = statusOf(first.server, 1);
			post({type: 'answerStarted', attemptId, status});
			const usage = {promptTokens: 1, completionTokens: 1};
			const next = post({type: 'answerCompleted', attemptId, usage});
			assert.equal(dispatchIn(next).server, first.server);
		});

		it('continue after two answers that running backend servers cut', () => {
			const first = dispatch('q');
			const second = dispatchIn(cut(first.dispatch.attemptId));
			const third = dispatchIn(cut(second.dispatch.attemptId));
			const servers = [first, second, third].map(({server}) => server);
			assert.equal(new Set(servers).size, 3);
		});

		it('stop after two failed runs', () => {
			const first = dispatch('q');
			const second = dispatchIn(fail(first.dispatch.attemptId, 'lost'));
			const refusal = refusalIn(fail(second.dispatch.attemptId, 'lost'));
			assert.equal(refusal.code, 'backend_failed');
			assert.equal(refusal.notRun, false);
		});
	});

	describe('a request that was running at two crashes', () => {
		it('is refused until its quarantine ends', () => {
			for (const bootId of ['b1', 'b1', 'b2']) {
				assert.equal(
					dispatch(bootId + String(core.stats().openRequests)).type,
					'dispatch',
				);
				post({type: 'suspectsReported', fingerprints: ['d'], bootId});
			}

			const refusal = refusalIn(arrive('q'));
			assert.equal(refusal.code, 'quarantined');
			assert.equal(refusal.notRun, true);
			assert.equal(refusal.retryAfterMs, quarantineMs);
			assert.equal(dispatch('other', {bodyDigest: 'd2'}).type, 'dispatch');
			const later = post(
				{
					type: 'requestArrived',
					request: requestOf('late', {deadlineAt: now + 2 * quarantineMs}),
				},
				now + quarantineMs,
			);
			assert.ok(later.some(({type}) => type === 'reserveTokens'));
		});
	});

	describe('a request that cannot meet its deadline', () => {
		it('is refused at once with a retry delay', () => {
			for (const server of ['s1', 's2', 's3', 's4']) {
				const status = {...statusOf(server, 1), expectedWaitMs: 5000};
				post({type: 'serverProbed', server, status});
			}

			const refusal = refusalIn(arrive('q'));
			assert.equal(refusal.code, 'deadline_unreachable');
			assert.equal(refusal.notRun, true);
			assert.equal(refusal.retryAfterMs, 4000);
		});
	});

	describe('an unresponsive server', () => {
		it('is probed, and its repeatable requests move to another server after two missed probes', () => {
			const first = dispatch('q', {deadlineAt: now + 10_000});
			let at = now;
			for (let missed = 0; missed < 2; missed++) {
				at = core.nextWakeAt()!;
				const [probe] = post({type: 'tick'}, at);
				assert.deepEqual(probe, {type: 'probeServer', server: first.server});
				const commands = post({type: 'serverProbed', server: first.server}, at);
				assert.equal(commands.length, missed === 0 ? 0 : 2);
				if (missed === 1) {
					assert.equal(commands[0]?.type, 'cancelDispatch');
					assert.notEqual(dispatchIn(commands).server, first.server);
				}
			}

			assert.ok(at <= now + 2000);
		});
	});
});
