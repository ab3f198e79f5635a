import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {beforeEach, describe, it} from 'node:test';
import {RelayedTable, type TableCopy} from './relayed-table.js';

const root = {id: 'root', endpoint: {host: 'root', port: 1}};
const other = {id: 'other', endpoint: {host: 'other', port: 1}};
const staleAgeMs = 1000;

let now: number;
let rows: readonly string[];
let fetches: string[];
let changes: number;
let gaps: number[];
let table: RelayedTable<string>;
let served: TableCopy<string>;

describe('RelayedTable', () => {
	beforeEach(() => {
		now = 0;
		rows = [];
		fetches = [];
		changes = 0;
		gaps = [];
		served = {revision: 7, ageMs: 50, rows: ['a'], version: 3};
		table = RelayedTable.create<string>({
			name: 'servers',
			clock: () => now,
			rows: () => rows,
			apply(copy) {
				const hasChanged = copy.rows.join(' ') !== rows.join(' ');
				rows = copy.rows;
				return hasChanged;
			},
			async fetch({host}) {
				fetches.push(host);
				return served;
			},
			staleAgeMs,
			onConfirmed(sinceMs) {
				gaps.push(sinceMs);
			},
			onChanged() {
				changes++;
			},
			onError: () => undefined,
		});
	});

	it('has nothing to announce before the first read', () => {
		assert.equal(table.announcement(now), undefined);
		assert.equal(table.copy(now), undefined);
	});

	it("fetches each revision of its parent's copy once, and then only takes its age", async () => {
		table.onAnnouncement(root, {revision: 7, ageMs: 50}, true);
		await nextTurn();
		assert.deepEqual(fetches, ['root']);
		assert.deepEqual(rows, ['a']);
		assert.equal(table.confirmedAt, -50);
		assert.equal(changes, 1);
		now = 800;
		table.onAnnouncement(root, {revision: 7, ageMs: 100}, true);
		await nextTurn();
		assert.deepEqual(fetches, ['root']);
		assert.equal(table.confirmedAt, 700);
	});

	it('announces another revision after each change only', () => {
		table.noteRead({era: 0, version: 1}, 0, true);
		const first = table.announcement(0)!.revision;
		table.noteRead({era: 0, version: 2}, 10, false);
		assert.equal(table.announcement(10)!.revision, first);
		table.noteRead({era: 0, version: 3}, 20, true);
		assert.notEqual(table.announcement(20)!.revision, first);
	});

	it('tells how long it was not known to be the newest before it applies newer rows', async () => {
		table.noteRead({era: 0, version: 1}, 0, true);
		now = 4000;
		table.onAnnouncement(root, {revision: 7, ageMs: 50}, true);
		await nextTurn();
		now = 4800;
		table.onAnnouncement(root, {revision: 7, ageMs: 100}, true);
		table.noteRead({era: 0, version: 4}, 4600, false);
		assert.deepEqual(gaps, [Infinity, 3950, 750]);
	});

	it('fetches from an entry that is not its parent only when its copy is stale', async () => {
		table.noteRead({era: 0, version: 1}, 0, true);
		now = 500;
		table.onAnnouncement(other, {revision: 7, ageMs: 0}, false);
		assert.deepEqual(fetches, []);
		now = staleAgeMs + 1;
		table.onAnnouncement(other, {revision: 7, ageMs: 2000}, false);
		assert.deepEqual(fetches, []);
		table.onAnnouncement(other, {revision: 7, ageMs: 100}, false);
		await nextTurn();
		assert.deepEqual(fetches, ['other']);
	});

	it('does not go back to an older version of the store', async () => {
		rows = ['a', 'b'];
		table.noteRead({era: 0, version: 9}, 0, true);
		now = 100;
		table.onAnnouncement(root, {revision: 7, ageMs: 0}, true);
		await nextTurn();
		assert.deepEqual(rows, ['a', 'b']);
		assert.equal(table.confirmedAt, 0);
	});

	// Regression: a copy that was rejected as older was confirmed as the newest by the next announcement of its revision.
	it('does not count a rejected copy as fetched, and takes it once its version has caught up', async () => {
		rows = ['a', 'b'];
		table.noteRead({era: 0, version: 9}, 0, true);
		now = 100;
		table.onAnnouncement(root, {revision: 7, ageMs: 0}, true);
		await nextTurn();
		now = 300;
		table.onAnnouncement(root, {revision: 7, ageMs: 0}, true);
		assert.equal(table.confirmedAt, 0);
		await nextTurn();
		assert.equal(table.confirmedAt, 0);
		served = {...served, version: 9};
		now = 500;
		table.onAnnouncement(root, {revision: 7, ageMs: 0}, true);
		await nextTurn();
		assert.deepEqual(rows, ['a']);
		assert.equal(table.confirmedAt, 450);
	});

	describe('when the store came back from a copy', () => {
		beforeEach(() => {
			rows = ['a', 'b'];
			table.noteRead({era: 0, version: 9}, 0, true);
			now = 100;
		});

		// Guards against row versions that are compared across eras.
		it('takes a copy of the new era from any peer, though its version is lower', async () => {
			served = {...served, era: 1};
			table.onAnnouncement(other, {revision: 7, ageMs: 50, era: 1}, false);
			await nextTurn();
			assert.deepEqual(rows, ['a']);
			assert.deepEqual(table.version, {era: 1, version: 3});
			assert.equal(table.confirmedAt, 50);
			assert.equal(table.copy(now)?.era, 1);
		});

		it('fetches a known revision again that is of the new era now', async () => {
			served = {...served, version: 9};
			table.onAnnouncement(root, {revision: 7, ageMs: 0}, true);
			await nextTurn();
			served = {...served, era: 1, version: 2};
			table.onAnnouncement(root, {revision: 7, ageMs: 0, era: 1}, true);
			await nextTurn();
			assert.deepEqual(fetches, ['root', 'root']);
			assert.deepEqual(table.version, {era: 1, version: 2});
		});

		// Guards against a proof from an earlier era.
		it('takes neither rows nor a proof from a copy of an earlier era', async () => {
			table.noteRead({era: 1, version: 2}, 100, false);
			now = 300;
			table.onAnnouncement(root, {revision: 7, ageMs: 0}, true);
			await nextTurn();
			assert.deepEqual(fetches, []);
			assert.equal(table.confirmedAt, 100);
		});

		it('fetches copies again when the era is settled', async () => {
			served = {...served, era: 1};
			const announcement = {revision: 7, ageMs: 0, era: 1};
			table.onAnnouncement(root, announcement, true);
			await nextTurn();
			table.onAnnouncement(root, announcement, true);
			await nextTurn();
			assert.equal(fetches.length, 1);
			table.noteSettled();
			table.onAnnouncement(root, announcement, true);
			await nextTurn();
			assert.equal(fetches.length, 2);
		});
	});
});
