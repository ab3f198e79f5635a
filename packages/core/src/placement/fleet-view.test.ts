import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {eraGraceMs} from '../authority/constants.js';
import type {ServiceSpec} from '../authority/types.js';
import {
	minOutageMs,
	minReturnMs,
	replicaDelayMs,
	maxLoadTargetDelayMs,
	initialPrefillTokensPerMs,
	silenceTimeoutMs,
	stateRetentionMs,
	returnWindowMs,
} from './constants.js';
import {FleetView} from './fleet-view.js';
import type {
	EngineReport,
	ServerChoice,
	ServerNeed,
	ServerRecord,
} from './types.js';

const spec: ServiceSpec = {
	name: 's',
	maxConnections: 100,
	coldRequestsPerSecond: 12,
	coldMs: 3000,
	engine: {
		slots: 64,
		memoryTokens: 1000,
		adapterPlaces: 17,
		models: [{name: 'm', megabytes: 1}],
	},
};

const record = (id: string, changes: Partial<ServerRecord> = {}) => ({
	id,
	service: 's',
	address: id,
	zone: 'z1',
	slots: 64,
	isDraining: false,
	coldLeftMs: 0,
	models: [{name: 'm', adapters: {}}],
	...changes,
});

const report = (
	adapters: Readonly<Record<string, number>>,
	changes: Partial<EngineReport> = {},
): EngineReport => ({
	born: 1,
	sequence: 0,
	isBusy: false,
	running: 0,
	waiting: 0,
	memoryUsed: 0,
	memoryTotal: 1000,
	models: [{name: 'm', adapters}],
	pending: [],
	...changes,
});

const need: ServerNeed = {
	service: 's',
	model: 'm',
	adapter: 'a',
	session: undefined,
	tokens: 1,
	promptTokens: 1,
	maxPromptWaitMs: 1000,
	tried: new Set(),
};

let fleet: FleetView;
let wanted: string[];
let zonesOut: Set<string>;
let newestVersion: number | undefined;
let minVersion: number;

function createFleet(): FleetView {
	return FleetView.create({
		zone: 'z1',
		isZoneOut: zone => zonesOut.has(zone),
		newestVersion: () => newestVersion,
		minVersion: () => minVersion,
		serviceOf: name => (name === 's' ? spec : undefined),
		coldBound: ({coldRequestsPerSecond}) => coldRequestsPerSecond * 1.5 + 5,
		entryCount: () => 5,
		onNewWant(server) {
			wanted.push(server);
		},
	});
}

function list(...records: readonly ServerRecord[]): void {
	fleet.apply(
		records.map(item => ({id: item.id, rowVersion: 1, record: item})),
		0,
	);
}

function serverOf(choice: ServerChoice): string {
	return choice.kind === 'send' ? choice.server : choice.kind;
}

function chosen(changes: Partial<ServerNeed> = {}, now = 0): string {
	return serverOf(fleet.choose({...need, ...changes}, now));
}

describe('FleetView', () => {
	beforeEach(() => {
		wanted = [];
		zonesOut = new Set();
		newestVersion = undefined;
		minVersion = 0;
		fleet = createFleet();
	});

	// Guards against an adapter named as a property of all objects counting as held, so that its requests are sent in vain.
	it('does not take an adapter for held that is named like a property of objects', () => {
		list(record('s0', {models: [{name: 'm', adapters: {a: 1}}]}));
		const server = fleet.server('s0')!;
		assert.equal(server.adapterVersion('m', 'a', 0), 1);
		assert.equal(server.adapterVersion('m', 'constructor', 0), undefined);
	});

	describe('a stream that one software version began', () => {
		const versions = (...items: ReadonlyArray<string | undefined>) => {
			list(
				...items.map((softwareVersion, i) =>
					record(`s${i}`, {
						...(softwareVersion !== undefined && {softwareVersion}),
						models: [{name: 'm', adapters: {a: 1}}],
					}),
				),
			);
		};

		// Guards against a resumption at a less busy server of another software version (ORDER).
		it('goes on only at servers of that version', () => {
			versions('v1', 'v2', 'v1', undefined);
			fleet.server('s2')!.noteSent(undefined, 0);
			assert.equal(
				chosen({softwareVersion: 'v1', tried: new Set(['s0'])}),
				's2',
			);
			assert.equal(chosen({softwareVersion: 'v2'}), 's1');
			assert.equal(chosen({softwareVersion: ''}), 's3');
			assert.equal(chosen({softwareVersion: 'v3'}), 'noServer');
		});

		it('may begin at any of them', () => {
			versions('v1', 'v2');
			assert.equal(chosen({tried: new Set(['s0'])}), 's1');
		});

		it('waits until its adapter is loaded at that version, though another holds it', () => {
			list(
				record('s0', {softwareVersion: 'v1'}),
				record('s1', {
					softwareVersion: 'v2',
					models: [{name: 'm', adapters: {a: 1}}],
				}),
			);
			fleet.noteReport('s0', report({}), 0);
			assert.equal(chosen({softwareVersion: 'v1'}), 'awaitAdapter');
			assert.deepEqual(wanted, ['s0']);
		});

		it('waits for a server of that version that turns requests away, though another takes them', () => {
			versions('v1', 'v2');
			fleet.noteSuspension('s0', 500, 0, 0);
			assert.equal(chosen({softwareVersion: 'v1'}), 'serversSuspended');
		});

		// Guards against a server that has started again, under its identifier, with other software than listed (ORDER).
		it('does not go on at a server that has restarted since it said its version', () => {
			list(
				record('s0', {
					softwareVersion: 'v1',
					born: 5,
					models: [{name: 'm', adapters: {a: 1}}],
				}),
			);
			fleet.noteReport('s0', report({a: 1}, {born: 5}), 0);
			assert.equal(chosen({softwareVersion: 'v1'}), 's0');
			fleet.noteReport('s0', report({a: 1}, {born: 6}), 10);
			assert.equal(chosen({softwareVersion: 'v1'}, 10), 'noServer');
		});

		it('finds out whether a server of that version is listed, draining or not', () => {
			versions('v1', 'v2');
			assert.equal(fleet.hasSoftwareVersion('s', 'v1'), true);
			assert.equal(fleet.hasSoftwareVersion('other', 'v1'), false);
			fleet.apply(
				[
					{
						id: 's0',
						rowVersion: 2,
						record: record('s0', {softwareVersion: 'v1', isDraining: true}),
					},
				],
				1,
			);
			assert.equal(fleet.hasSoftwareVersion('s', 'v1'), true);
			fleet.apply([{id: 's0', rowVersion: 3, record: undefined}], 2);
			assert.equal(fleet.hasSoftwareVersion('s', 'v1'), false);
		});
	});

	describe('adapters', () => {
		it('run on a server that holds them', () => {
			list(record('x'), record('y'));
			fleet.noteReport('x', report({}), 0);
			fleet.noteReport('y', report({a: 1}), 0);
			assert.equal(chosen(), 'y');
		});

		it('are wanted on only one server, however often they are requested', () => {
			list(record('x'), record('y'), record('z'));
			for (const id of ['x', 'y', 'z']) {
				fleet.noteReport(id, report({}), 0);
			}

			for (let i = 0; i < 5; i++) {
				assert.equal(chosen({}, i), 'awaitAdapter');
			}

			assert.equal(wanted.length, 1);
		});

		it('are wanted on the same server while it has pending loads, so that all entries pick the same one', () => {
			list(record('x'), record('y'));
			const pending = ['p', 'q', 'r', 't'].map(adapter => ({
				model: 'm',
				adapter,
				version: 1,
			}));
			fleet.noteReport('x', report({}), 0);
			fleet.noteReport('y', report({}), 0);
			chosen();
			const [first] = wanted;
			fleet.noteReport(first!, report({}, {pending}), 10);
			chosen({}, 1100);
			assert.deepEqual(new Set(wanted), new Set([first]));
		});

		it('are wanted on a second server when prompts wait at the first', () => {
			list(record('x'), record('y'));
			const promptDebt = (replicaDelayMs + 100) * initialPrefillTokensPerMs;
			fleet.noteReport('x', report({a: 1}, {promptDebt}), 0);
			fleet.noteReport('y', report({}), 0);
			assert.equal(chosen(), 'x');
			assert.deepEqual(wanted, ['y']);
		});

		it('are wanted on a second server when small batches fill up at the only one, before requests queue', () => {
			list(record('x', {slots: 16}), record('y', {slots: 16}));
			fleet.noteReport('x', report({a: 1}, {running: 8}), 0);
			fleet.noteReport('y', report({}, {running: 2}), 0);
			assert.equal(chosen(), 'x');
			assert.deepEqual(wanted, []);
			fleet.noteReport('x', report({a: 1}, {running: 10}), 10);
			assert.equal(chosen({}, 10), 'x');
			assert.deepEqual(wanted, ['y']);
		});

		it('are not wanted on a second server that is as busy', () => {
			list(record('x', {slots: 16}), record('y', {slots: 16}));
			fleet.noteReport('x', report({a: 1}, {running: 12}), 0);
			fleet.noteReport('y', report({}, {running: 8}), 0);
			chosen();
			assert.deepEqual(wanted, []);
		});

		it('are loaded on a server without a prompt backlog', () => {
			list(record('x'), record('y'));
			for (const id of ['x', 'y']) {
				fleet.noteReport(id, report({}), 0);
			}

			chosen();
			const [first = ''] = wanted.splice(0);
			const promptDebt =
				(maxLoadTargetDelayMs + 200) * initialPrefillTokensPerMs;
			fleet.noteReport(first, report({}, {promptDebt}), 0);
			chosen();
			assert.deepEqual(wanted, [first === 'x' ? 'y' : 'x']);
		});
	});

	describe('the digest of the list for other entries', () => {
		it('changes when a server turns cold, also again, and not while it grows warm', () => {
			list(record('x'));
			let rowVersion = 10;
			const digestAfter = (changes: Partial<ServerRecord>) => {
				fleet.apply(
					[{id: 'x', rowVersion: rowVersion++, record: record('x', changes)}],
					0,
				);
				return fleet.listedDigest();
			};

			const warm = fleet.listedDigest();
			const cold = digestAfter({coldLeftMs: 3000});
			assert.notEqual(cold, warm);
			assert.equal(digestAfter({coldLeftMs: 1500}), cold);
			const again = digestAfter({coldLeftMs: 3000});
			assert.notEqual(again, cold);
			assert.notEqual(again, warm);
		});

		it('changes with drains and not with adapters', () => {
			list(record('x'));
			const before = fleet.listedDigest();
			const change = (changes: Partial<ServerRecord>, rowVersion: number) => {
				fleet.apply([{id: 'x', rowVersion, record: record('x', changes)}], 0);
			};

			change({models: [{name: 'm', adapters: {b: 1}}]}, 10);
			assert.equal(fleet.listedDigest(), before);
			change({isDraining: true}, 11);
			assert.notEqual(fleet.listedDigest(), before);
		});
	});

	describe('when engines restarted empty', () => {
		it('uses only the newest server at an address while the list still holds the old one', () => {
			list(record('old', {models: [{name: 'm', adapters: {a: 1}}]}));
			assert.equal(chosen(), 'old');
			const renamed = record('new', {address: 'old'});
			fleet.apply([{id: 'new', rowVersion: 2, record: renamed}], 0);
			assert.equal(chosen(), 'awaitAdapter');
			assert.deepEqual(wanted, []);
			fleet.noteReport('new', report({}), 0);
			assert.equal(chosen(), 'awaitAdapter');
			assert.deepEqual(wanted, ['new']);
			fleet.apply([{id: 'new', rowVersion: 3, record: undefined}], 0);
			assert.equal(chosen(), 'old');
		});

		it('sends no more prompts than an engine prefills in time and lets the others wait for another engine', () => {
			list(record('x'), record('y'));
			const promptDebt = 2000 * initialPrefillTokensPerMs;
			fleet.noteReport('x', report({a: 1}, {promptDebt}), 0);
			const choice = fleet.choose({...need, maxPromptWaitMs: 500}, 0);
			assert.equal(choice.kind, 'promptQueue');
			fleet.noteReport('y', report({a: 1}), 0);
			assert.equal(chosen({maxPromptWaitMs: 500}), 'y');
			fleet.server('y')!.notePromptDelay(600, 0);
			assert.equal(chosen({maxPromptWaitMs: 500}), 'promptQueue');
			assert.equal(chosen({maxPromptWaitMs: 500}, 200), 'y');
		});
	});

	describe('when a server refused an adapter after a restart', () => {
		it('avoids the server for that adapter until its next report and uses it for other requests', () => {
			list(
				record('x', {models: [{name: 'm', adapters: {a: 1}}]}),
				record('y', {isDraining: true}),
			);
			assert.equal(chosen(), 'x');
			fleet.server('x')!.noteRefusedAdapter('m/a');
			assert.equal(chosen(), 'awaitAdapter');
			assert.equal(chosen({adapter: undefined}), 'x');
			fleet.noteReport('x', report({a: 1}), 5);
			assert.equal(chosen({}, 5), 'x');
		});
	});

	describe('requests for an adapter with a newly declared version', () => {
		beforeEach(() => {
			list(record('x'), record('y'));
			fleet.noteReport('x', report({a: 1}), 0);
			fleet.noteReport('y', report({}), 0);
			newestVersion = 2;
		});

		it('run on the old version during the grace period while the new one is loaded on another server', () => {
			assert.equal(chosen(), 'x');
			assert.deepEqual(wanted, ['y']);
		});

		// Guards against a request on the old version that waits in a server's queue until after the grace period; a server may
		// keep it although its connection is closed (VERSION).
		it('do not queue on the old version', () => {
			fleet.noteReport('x', {...report({a: 1}), waiting: 1}, 0);
			assert.equal(chosen(), 'awaitAdapter');
			assert.deepEqual(wanted, ['y']);
			fleet.noteReport('y', {...report({a: 2}), waiting: 1}, 0);
			assert.equal(chosen(), 'y');
		});

		it('run only on the new version after the grace period', () => {
			minVersion = 2;
			assert.equal(chosen(), 'awaitAdapter');
			fleet.noteReport('y', report({a: 2}), 0);
			assert.equal(chosen(), 'y');
		});

		it('must be expected in the version that the server holds during the grace period, whichever it is', () => {
			assert.deepEqual(fleet.versionToExpect('x', need, 0), {
				kind: 'exactly',
				version: 1,
			});
			assert.deepEqual(fleet.versionToExpect('y', need, 0), {kind: 'any'});
			newestVersion = undefined;
			assert.deepEqual(fleet.versionToExpect('x', need, 0), {kind: 'any'});
		});

		it('must be expected in the version that the server holds after it, which may be newer than the required one', () => {
			minVersion = 2;
			fleet.noteReport('y', report({a: 3}), 0);
			assert.deepEqual(fleet.versionToExpect('y', need, 0), {
				kind: 'exactly',
				version: 3,
			});
			for (const id of ['x', 'gone']) {
				assert.deepEqual(fleet.versionToExpect(id, need, 0), {
					kind: 'outdated',
				});
			}
		});

		// Guards against a request that was ready to send before the grace period ended and then runs on whatever the server
		// holds.
		it('may have headers without a version only before one was declared', () => {
			assert.equal(fleet.acceptsHeaders('x', need, undefined, 0), false);
			newestVersion = undefined;
			assert.equal(fleet.acceptsHeaders('x', need, undefined, 0), true);
			newestVersion = 2;
			minVersion = 2;
			fleet.noteReport('y', report({a: 2}), 0);
			assert.equal(fleet.acceptsHeaders('y', need, 2, 0), true);
			for (const expected of [undefined, 1, 3]) {
				assert.equal(fleet.acceptsHeaders('y', need, expected, 0), false);
			}

			assert.equal(fleet.acceptsHeaders('x', need, 1, 0), false);
		});
	});

	describe('a server that turns cold after requests were assigned to it', () => {
		// Guards against a limit on a cold server that is checked when the server is chosen, but not when the request is sent.
		it('gets as many of them per second as it bears', () => {
			list(record('x', {coldLeftMs: 10_000}));
			const limit = Math.floor((12 * 1.5 + 5) / 5);
			for (let i = 0; i < limit; i++) {
				assert.equal(fleet.mayDispatch('x', 5000), true);
				fleet.server('x')!.noteDispatched(5000);
			}

			assert.equal(fleet.mayDispatch('x', 5000), false);
			assert.equal(fleet.mayDispatch('x', 6001), true);
		});
	});

	describe('servers of a plain service that tell their load', () => {
		const plain = {model: undefined, adapter: undefined};
		const load = (running: number, waiting: number, slowdown = 1) => ({
			running,
			waiting,
			slots: 64,
			slowdown,
		});

		beforeEach(() => {
			list(record('x'), record('y'));
		});

		// Guards against a choice that knows only this entry's requests.
		it('are chosen by the expected time until a figure is a second old', () => {
			fleet.server('y')!.noteSent(undefined, 0);
			fleet.noteLoad('x', load(64, 64), undefined, 0);
			assert.equal(chosen(plain, 100), 'y');
			assert.equal(chosen(plain, 1000), 'x');
			fleet.noteLoad('x', load(0, 0, 2.5), undefined, 2000);
			fleet.noteLoad('y', load(1, 0), undefined, 2000);
			assert.equal(chosen(plain, 2000), 'y');
		});

		// Guards against requests that wait at a server until their caller has left, and against refusals while a place is free.
		it("are not sent what can't be answered before the deadline, unless one may have a place free", () => {
			fleet.noteLoad('x', load(1, 0), 100, 0);
			fleet.noteLoad('x', load(64, 1000), undefined, 0);
			const limited = {...plain, remainingMs: 1000};
			assert.equal(chosen(limited), 'y');
			fleet.noteLoad('y', load(64, 640), undefined, 0);
			const choice = fleet.choose({...need, ...limited}, 0);
			assert.equal(choice.kind, 'tooLate');
			assert.ok('delayMs' in choice && choice.delayMs > 300);
			assert.equal(chosen({...limited, remainingMs: 2000}), 'y');
			assert.equal(chosen({...limited, tried: new Set(['y'])}), 'tooLate');
			// Both figures are too old to prove anything.
			assert.equal(chosen(limited, 1000), 'x');
			fleet.noteLoad('y', load(10, 0), undefined, 1000);
			fleet.server('x')!.noteSent(undefined, 1000);
			assert.equal(chosen(limited, 1000), 'y');
		});

		it("take an equal share of this entry's requests once they told of waiting ones", () => {
			fleet.noteLoad('x', load(1, 0), 100, 0);
			for (const id of ['x', 'y']) {
				fleet.noteLoad(id, load(64, 10), undefined, 0);
			}

			const limited = {...plain, remainingMs: 1000};
			const sent: Record<string, number> = {x: 0, y: 0};
			for (;;) {
				const choice = fleet.choose({...need, ...limited}, 2000);
				if (choice.kind !== 'send') {
					assert.equal(choice.kind, 'full');
					break;
				}

				sent[choice.server]!++;
				fleet.server(choice.server)!.noteSent(undefined, 2000);
			}

			// 64 places answer 448 requests in 700 ms, and there are 5 entries.
			assert.deepEqual(sent, {x: 89, y: 89});
		});
	});

	describe('leaving servers', () => {
		const plain = {model: undefined, adapter: undefined};

		it('get no requests once they drain, their zone is out, or they are removed', () => {
			list(record('x'), record('y', {zone: 'z2'}));
			zonesOut.add('z2');
			assert.equal(chosen(plain), 'x');
			fleet.apply(
				[{id: 'x', rowVersion: 2, record: record('x', {isDraining: true})}],
				1,
			);
			assert.equal(chosen(plain, 1), 'noServer');
			zonesOut.clear();
			fleet.apply([{id: 'y', rowVersion: 2, record: undefined}], 1);
			assert.equal(chosen(plain, 1), 'noServer');
		});

		const removal = {id: 'x', rowVersion: 2, record: undefined};

		it('stay in use until they may be back if the store dropped them around an outage', () => {
			list(record('x'));
			fleet.noteConfirmed(minOutageMs, 0);
			fleet.apply([removal], 100);
			assert.equal(chosen(plain, returnWindowMs - 1), 'x');
			assert.equal(chosen(plain, returnWindowMs), 'noServer');
		});

		// Guards against requests to a removed server because a short failure counted as an outage (DRAIN).
		it('get no requests once removed while the list is confirmed all the time, or before an outage', () => {
			list(record('x'));
			fleet.noteConfirmed(Infinity, 0);
			fleet.noteConfirmed(minOutageMs - 1, 0);
			fleet.server('x')!.noteSent(undefined, 0);
			fleet.apply([removal], 0);
			assert.equal(chosen(plain, 0), 'noServer');
			fleet.noteConfirmed(minOutageMs, 100);
			assert.equal(chosen(plain, 100), 'noServer');
		});

		describe('with a row that they sent before the known one', () => {
			const row = (rowVersion: number, changes: Partial<ServerRecord>) => [
				{id: 'x', rowVersion, record: record('x', changes)},
			];

			// Guards against requests to a draining server (DRAIN) because an older check-in of it has a newer row version.
			it('are not restored by it, but by their next start', () => {
				fleet.apply(row(1, {born: 5}), 0);
				fleet.apply(row(2, {born: 5, isDraining: true}), 1);
				fleet.apply(row(3, {born: 5}), 2);
				assert.equal(chosen(plain, 2), 'noServer');
				fleet.apply(row(4, {born: 6}), 3);
				assert.equal(chosen(plain, 3), 'x');
			});

			// Guards against a late check-in that restores a draining server whose row was removed meanwhile (DRAIN).
			it('are not restored by it after their row was removed, but by their next start', () => {
				fleet.apply(row(1, {born: 5, isDraining: true}), 0);
				fleet.apply([{id: 'x', rowVersion: 2, record: undefined}], 1);
				fleet.apply(row(3, {born: 5}), 2);
				assert.equal(chosen(plain, 2), 'noServer');
				fleet.apply(row(4, {born: 6}), 3);
				assert.equal(chosen(plain, 3), 'x');
			});

			it('stay in the state of their newest start', () => {
				fleet.apply(row(1, {born: 6, isDraining: true}), 0);
				fleet.apply(row(2, {born: 5}), 1);
				assert.equal(chosen(plain, 1), 'noServer');
			});
		});

		it('are not restored by an older row', () => {
			list(record('x'));
			fleet.apply([{id: 'x', rowVersion: 3, record: undefined}], 1);
			fleet.apply([{id: 'x', rowVersion: 2, record: record('x')}], 2);
			assert.equal(chosen(plain, 2), 'noServer');
		});
	});

	describe('when the store came back from a copy', () => {
		const plain = {model: undefined, adapter: undefined};
		const change = (
			rowVersion: number,
			era: number,
			changes: Partial<ServerRecord> = {},
			id = 'x',
		) => ({id, rowVersion, era, record: record(id, changes)});

		// Guards against row versions that are compared across eras: the server stayed in use (DRAIN).
		it('takes rows of the new era whose versions are not above those seen before', () => {
			fleet.apply([change(9, 0)], 0);
			fleet.noteEra(1);
			fleet.applyAll([change(3, 1)], {era: 1, version: 3}, 1);
			fleet.apply([change(5, 1, {isDraining: true})], 2);
			assert.equal(chosen(plain, 2), 'noServer');
			assert.deepEqual(
				fleet.listedRows().map(({rowVersion, era}) => ({rowVersion, era})),
				[{rowVersion: 5, era: 1}],
			);
		});

		it('keeps a server for a grace period whose row the store has lost, and takes it when it is written again', () => {
			fleet.apply([change(9, 0)], 0);
			fleet.noteEra(1);
			fleet.applyAll([], {era: 1, version: 3}, 1);
			assert.equal(chosen(plain, returnWindowMs), 'x');
			assert.equal(chosen(plain, 1 + returnWindowMs), 'noServer');
			const backAt = 2 + returnWindowMs;
			fleet.applyAll([change(4, 1)], {era: 1, version: 4}, backAt);
			assert.equal(chosen(plain, backAt), 'x');
		});

		it('keeps a server whose row was lost twice in series', () => {
			fleet.apply([change(9, 0)], 0);
			fleet.noteEra(1);
			fleet.applyAll([], {era: 1, version: 3}, 1);
			fleet.noteEra(500);
			fleet.applyAll([change(2, 2)], {era: 2, version: 2}, 500);
			assert.equal(chosen(plain, 500), 'x');
		});

		// Guards against a row from before a server left that comes back with the copy (DRAIN).
		it('does not use a server that has left by a row of the copy, until the row is written again or the era is settled', () => {
			for (const exit of [
				change(9, 0, {isDraining: true}),
				{id: 'x', rowVersion: 9, record: undefined},
				change(9, 0, {address: 'x'}, 'successor'),
			]) {
				fleet = createFleet();
				fleet.apply([change(4, 0)], 0);
				fleet.apply([exit], 1);
				fleet.noteEra(2);
				fleet.applyAll([change(4, 1)], {era: 1, version: 4}, 2);
				assert.notEqual(chosen(plain, 3), 'x');
				fleet.apply([change(5, 1)], 3);
				assert.equal(chosen(plain, 3), 'x');
			}

			fleet = createFleet();
			fleet.apply([change(9, 0, {isDraining: true})], 1);
			fleet.noteEra(2);
			const settledAt = 2 + eraGraceMs;
			fleet.applyAll([change(4, 1)], {era: 1, version: 4}, settledAt - 1);
			assert.equal(chosen(plain, settledAt), 'noServer');
			fleet.applyAll([change(4, 1)], {era: 1, version: 4}, settledAt);
			assert.equal(chosen(plain, settledAt), 'x');
		});
	});

	describe('cold servers', () => {
		it('get at most the cold limit per second from all entries together', () => {
			list(record('x', {coldLeftMs: 5000}));
			fleet.noteReport('x', report({a: 1}), 0);
			let sent = 0;
			while (chosen({}, sent) === 'x') {
				fleet.server('x')!.noteSent('m/a', sent);
				sent++;
			}

			assert.ok(sent > 0 && sent * 5 <= 12 * 1.5 + 5, `${sent}`);
			fleet.noteReport('x', report({a: 1}), 1400);
			assert.equal(chosen({}, 1400), 'x');
		});

		it('include an engine that restarted', () => {
			list(record('x'));
			fleet.noteReport('x', report({a: 1}), 0);
			fleet.noteReport('x', report({a: 1}, {born: 2}), 10);
			assert.equal(fleet.server('x')!.isCold(11), true);
		});
	});

	describe('a server whose row goes and comes back soon', () => {
		const flap = (changes: Partial<ServerRecord> = {}) => {
			fleet.apply([{id: 'x', rowVersion: 2, record: undefined}], 100);
			fleet.apply(
				[{id: 'x', rowVersion: 3, record: record('x', changes)}],
				400,
			);
		};

		// Guards against a limit on a cold server that begins anew with each of its rows.
		it('gets no more requests per second while it is cold', () => {
			list(record('x', {coldLeftMs: 10_000}));
			const limit = Math.floor((12 * 1.5 + 5) / 5);
			for (let i = 0; i < limit; i++) {
				fleet.server('x')!.noteDispatched(0);
			}

			flap({coldLeftMs: 10_000});
			assert.equal(fleet.mayDispatch('x', 400), false);
			assert.equal(fleet.mayDispatch('x', 1001), true);
		});

		// Guards against an engine that restarted and is taken for warm, as its row was written before.
		it('stays cold if only its report told that it has restarted', () => {
			list(record('x'));
			fleet.noteReport('x', report({a: 1}), 0);
			fleet.noteReport('x', report({a: 1}, {born: 2}), 10);
			flap();
			assert.equal(fleet.server('x')!.isCold(400), true);
		});

		it('is avoided after a broken connection as long as any other', () => {
			list(record('x'), record('y', {zone: 'z2'}));
			const plain = {model: undefined, adapter: undefined};
			fleet.server('x')!.markSuspected(0);
			flap();
			assert.equal(chosen(plain, 400), 'y');
			assert.equal(chosen(plain, 1000), 'x');
		});

		it('is forgotten after a while', () => {
			list(record('x'));
			fleet.server('x')!.markSuspected(0);
			fleet.apply([{id: 'x', rowVersion: 2, record: undefined}], 100);
			const backAt = 100 + stateRetentionMs;
			fleet.server('x')?.markSuspected(backAt);
			fleet.apply([{id: 'x', rowVersion: 3, record: record('x')}], backAt);
			assert.equal(fleet.server('x')!.isSuspected(backAt), false);
		});
	});

	describe('silent engines', () => {
		it('are avoided while other servers can run the request', () => {
			list(record('x'), record('y'));
			fleet.noteReport('x', report({a: 1}), 0);
			fleet.noteReport('y', report({a: 1}, {running: 9}), silenceTimeoutMs);
			assert.equal(chosen({}, silenceTimeoutMs), 'y');
			fleet.server('x')!.noteActivity(silenceTimeoutMs);
			assert.equal(chosen({}, silenceTimeoutMs), 'x');
		});
	});

	describe('full engines', () => {
		it('get no more requests once slots or memory are used up', () => {
			list(record('x'));
			fleet.noteReport('x', report({a: 1}, {running: 60}), 0);
			assert.equal(chosen(), 'full');
			fleet.noteReport('x', report({a: 1}, {memoryUsed: 890}), 1);
			assert.equal(chosen({tokens: 20}, 1), 'full');
			assert.equal(chosen({tokens: 5}, 1), 'x');
		});
	});

	describe('prompts', () => {
		it('go to the server with the least delay by its report and the prompts sent since', () => {
			list(record('x'), record('y'));
			fleet.noteReport('x', report({a: 1}, {promptDebt: 4000}), 0);
			fleet.noteReport('y', report({a: 1}, {running: 3}), 0);
			assert.equal(chosen(), 'y');
			fleet.server('y')!.notePrompt(8000, 0);
			assert.equal(chosen(), 'x');
			assert.equal(chosen({}, 1000), 'x');
		});
	});

	describe('sessions', () => {
		it('stay on the server that caches their prompt unless it is much busier', () => {
			list(record('x'), record('y'));
			fleet.noteReport('x', report({a: 1}, {running: 3}), 0);
			fleet.noteReport('y', report({a: 1}), 0);
			fleet.noteSession('q', 'x');
			assert.equal(chosen({session: 'q'}), 'x');
			fleet.noteReport('x', report({a: 1}, {promptDebt: 4000}), 1);
			assert.equal(chosen({session: 'q'}, 1), 'y');
		});
	});

	describe('a server that says in its responses that it is leaving', () => {
		const held = {models: [{name: 'm', adapters: {a: 1}}]};
		const apply = (
			id: string,
			rowVersion: number,
			changes: Partial<ServerRecord> | undefined,
			now = 0,
		) => {
			fleet.apply(
				[
					{
						id,
						rowVersion,
						record: changes && record(id, {...held, ...changes}),
					},
				],
				now,
			);
		};

		// Guards against requests that reach a server after it has said that it leaves, while its row is old (DRAIN).
		it('is not chosen any more, whatever its row and its reports say', () => {
			apply('s1', 1, {born: 5});
			apply('s2', 1, {zone: 'z2'});
			assert.equal(chosen(), 's1');
			fleet.noteLeaving('s1', 0);
			assert.equal(chosen(), 's2');
			apply('s1', 2, {born: 5});
			fleet.noteReport('s1', report({a: 1}, {born: 5}), 0);
			assert.equal(chosen(), 's2');
			assert.equal(fleet.isUsable('s1', 0), false);
		});

		it('is told by its agent too', () => {
			apply('s1', 1, {});
			fleet.noteReport('s1', report({a: 1}, {isLeaving: true}), 0);
			assert.equal(chosen(), 'noServer');
		});

		it('is chosen again once it has started anew', () => {
			apply('s1', 1, {born: 5});
			fleet.noteLeaving('s1', 0);
			apply('s1', 2, {born: 6});
			assert.equal(chosen(), 's1');
		});

		it('that does not tell its start is chosen again only after the list has said that it leaves', () => {
			apply('s1', 1, {});
			fleet.noteLeaving('s1', 0);
			apply('s1', 2, {});
			assert.equal(chosen(), 'noServer');
			apply('s1', 3, {isDraining: true});
			apply('s1', 4, {});
			assert.equal(chosen(), 's1');
		});

		// Guards against a server that stays out of use for good, as it drained and returned between two reads of the list.
		it('that does not tell its start is chosen again once its row shows another start', () => {
			for (const changes of [
				{coldLeftMs: 5000},
				{address: '10.0.0.9:1'},
				{softwareVersion: 'v2'},
			]) {
				fleet = createFleet();
				apply('s1', 1, {});
				fleet.noteLeaving('s1', 0);
				apply('s1', 2, {models: [{name: 'm', adapters: {a: 1, b: 1}}]});
				assert.equal(chosen(), 'noServer');
				apply('s1', 3, changes, minReturnMs);
				assert.equal(chosen({}, minReturnMs), 's1', JSON.stringify(changes));
			}
		});

		// Guards against a row from the cold time before the leaving, carried out late, that puts the server back in use (DRAIN).
		it('that does not tell its start is not chosen by a row that is written late', () => {
			apply('s1', 1, {});
			fleet.noteLeaving('s1', 0);
			apply('s1', 2, {coldLeftMs: 5000}, minReturnMs - 1);
			assert.equal(chosen({}, minReturnMs - 1), 'noServer');
		});

		// Guards against a message on a leaving that arrives after the server has started anew.
		it('stays in use if it has started since by what is known', () => {
			apply('s1', 1, {born: 6});
			assert.equal(fleet.noteLeaving('s1', 0, 5), false);
			assert.equal(chosen(), 's1');
			assert.equal(fleet.noteLeaving('s1', 0, 7), true);
			assert.equal(fleet.noteLeaving('s1', 0, 7), false);
			apply('s1', 2, {born: 7});
			assert.equal(chosen(), 'noServer');
			apply('s1', 3, {born: 8});
			assert.equal(chosen(), 's1');
		});
	});

	describe('a server that turns requests away for a time', () => {
		const plain = {...need, model: undefined, adapter: undefined};

		beforeEach(() => {
			list(record('s1', {models: []}), record('s2', {models: [], zone: 'z2'}));
		});

		// Guards against requests to a server that wants none from this host (BUDGET).
		it('gets none until then, and the longest of several times counts', () => {
			fleet.noteSuspension('s1', 3000, 0, 0);
			fleet.noteSuspension('s1', 1000, 0, 100);
			assert.equal(fleet.isUsable('s1', 2999), false);
			assert.equal(chosen(plain, 2999), 's2');
			assert.equal(fleet.isUsable('s1', 3000), true);
		});

		it('lets the caller know the shortest time if all servers do', () => {
			fleet.noteSuspension('s1', 3000, 0, 0);
			fleet.noteSuspension('s2', 2000, 0, 0);
			assert.deepEqual(fleet.choose(plain, 500), {
				kind: 'serversSuspended',
				delayMs: 1500,
			});
			const tried = new Set(['s1', 's2']);
			assert.equal(fleet.suspensionMs({...plain, tried}, 500), 1500);
			assert.equal(fleet.suspensionMs({...plain, tried}, 2000), 0);
		});

		describe('and whose row goes and comes back', () => {
			beforeEach(() => {
				fleet.noteSuspension('s1', 3000, 0, 0);
				for (const id of ['s1', 's2']) {
					fleet.apply([{id, rowVersion: 2, record: undefined}], 1000);
				}
			});

			// Guards against a server's wish for rest that is forgotten with its row (BUDGET).
			it('gets none until then', () => {
				fleet.apply(
					[{id: 's1', rowVersion: 3, record: record('s1', {models: []})}],
					1500,
				);
				assert.equal(fleet.mayDispatch('s1', 2999), false);
				assert.deepEqual(fleet.choose(plain, 1500), {
					kind: 'serversSuspended',
					delayMs: 1500,
				});
				assert.equal(chosen(plain, 3000), 's1');
			});

			it('lets the caller know the time while the row is away', () => {
				assert.deepEqual(fleet.choose(plain, 1200), {
					kind: 'serversSuspended',
					delayMs: 1800,
				});
				assert.equal(chosen({...plain, service: 't'}, 1200), 'noServer');
				assert.equal(chosen(plain, 3000), 'noServer');
			});

			it('does not hold up a request that another server has turned away', () => {
				const tried = new Set(['s2']);
				assert.equal(chosen({...plain, tried}, 1200), 'noServer');
				assert.equal(fleet.suspensionMs({...plain, tried}, 1200), 1800);
			});

			it('does not hold up a stream whose software version has no server any more', () => {
				const need = {...plain, softwareVersion: 'v1'};
				assert.equal(chosen(need, 1200), 'noServer');
			});

			it('does not hold for another server at its address', () => {
				const successor = record('s3', {address: 's1', models: []});
				fleet.apply([{id: 's3', rowVersion: 3, record: successor}], 1500);
				assert.equal(chosen(plain, 1500), 's3');
			});
		});

		// Answers the pattern of many waiting requests that return to a busy server at once.
		it('gets requests at a limited rate for a second after it', () => {
			list(record('s2', {isDraining: true}));
			const server = fleet.server('s1')!;
			fleet.noteSuspension('s1', 1000, 0, 0);
			fleet.noteSuspension('s2', 60_000, 0, 0);
			let sent = 0;
			for (let now = 1000; now < 2000; now += 10) {
				if (chosen(plain, now) === 's1') {
					server.noteSent(undefined, now);
					server.noteEnded(undefined);
					sent++;
				}
			}

			assert.equal(sent, 10);
			assert.equal(chosen(plain, 2000), 's1');
		});

		it('spreads the first requests of the entries', () => {
			fleet.noteSuspension('s1', 1000, 0.5, 0);
			assert.equal(fleet.suspendedForMs('s1', 1000), 150);
		});

		it('does not get lost by an absurd time', () => {
			fleet.noteSuspension('s1', 1e12, 0, 0);
			assert.equal(fleet.suspendedForMs('s1', 0), 600_000);
		});
	});
});
