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
		table.noteRead(1, 0, true);
		const first = table.announcement(0)!.revision;
		table.noteRead(2, 10, false);
		assert.equal(table.announcement(10)!.revision, first);
		table.noteRead(3, 20, true);
		assert.notEqual(table.announcement(20)!.revision, first);
	});

	it('tells how long it was not known to be the newest before it applies newer rows', async () => {
		table.noteRead(1, 0, true);
		now = 4000;
		table.onAnnouncement(root, {revision: 7, ageMs: 50}, true);
		await nextTurn();
		now = 4800;
		table.onAnnouncement(root, {revision: 7, ageMs: 100}, true);
		table.noteRead(4, 4600, false);
		assert.deepEqual(gaps, [Infinity, 3950, 750]);
	});

	it('fetches from an entry that is not its parent only when its copy is stale', async () => {
		table.noteRead(1, 0, true);
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
		table.noteRead(9, 0, true);
		now = 100;
		table.onAnnouncement(root, {revision: 7, ageMs: 0}, true);
		await nextTurn();
		assert.deepEqual(rows, ['a', 'b']);
		assert.equal(table.confirmedAt, 0);
	});
});
