import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {beforeEach, describe, it} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {PartSuspects, type PartSuspectEntry} from '@balsamtray/core';
import type {PartNote} from '@balsamtray/protocol';
import {suspectsFetchIntervalMs} from './constants.js';
import {EventLog} from './event-log.js';
import {PartQuarantine} from './part-quarantine.js';

const part = 'service/bad0';
const peer = {id: 'entry-2', endpoint: {host: '127.0.0.1', port: 1}};

/** Entry with its quarantine, its notes to other entries, and what it wrote to the store. */
class QuarantinedEntry {
	static create(isOwner = true): QuarantinedEntry {
		return new QuarantinedEntry(isOwner);
	}

	now = 100_000;
	readonly notes: Array<Pick<PartNote, 'suspects' | 'cleared'>> = [];
	readonly lines: Array<Readonly<Record<string, unknown>>> = [];
	readonly stored = new Map<string, PartSuspectEntry>();
	readonly errors: string[] = [];
	readonly recalled: string[] = [];
	fetched: readonly PartSuspectEntry[] = [];
	fetches = 0;
	storeFailures = 0;
	readonly quarantine: PartQuarantine;
	private _timers: Array<{readonly run: () => void; readonly at: number}> = [];

	private constructor(isOwner: boolean) {
		const output = new Writable({
			write: (line: Uint8Array, _encoding, done) => {
				this.lines.push(parseObject(line.toString()));
				done();
			},
		});
		this.quarantine = PartQuarantine.create({
			clock: () => this.now,
			suspects: PartSuspects.create(),
			hasEnded: () => false,
			isSilent: () => false,
			isOwner: () => isOwner,
			spread: note => {
				this.notes.push(note);
			},
			schedule: (run, delayMs) => {
				this._timers.push({run, at: this.now + delayMs});
			},
			fetchSuspects: async () => {
				this.fetches++;
				return this.fetched;
			},
			store: {
				readAll: async () => {
					if (this.storeFailures-- > 0) {
						throw new Error('no store');
					}

					return [...this.stored.values()];
				},
				write: async entry => {
					this.stored.set(entry.part, entry);
				},
				remove: async key => {
					this.stored.delete(key);
				},
			},
			log: EventLog.create('entry-1', () => this.now, output),
			onError: step => {
				this.errors.push(step);
			},
		});
	}

	/** Lets time pass and runs the timers that are due. */
	wait(ms: number): void {
		this.now += ms;
		const due = this._timers.filter(({at}) => at <= this.now);
		this._timers = this._timers.filter(({at}) => at > this.now);
		for (const {run} of due) {
			run();
		}
	}

	send(name: string, server: string) {
		return this.quarantine.add({
			parts: [name],
			start: {server, born: 1},
			recall: () => {
				this.recalled.push(server);
			},
		});
	}

	/** Lets servers end under requests with the part, a second apart. */
	crash(count: number): void {
		for (let i = 0; i < count; i++) {
			const exposure = this.send(part, `server-${i}`);
			exposure.onHead();
			exposure.onBroke();
			this.wait(1000);
		}
	}

	isAllowed(): boolean {
		const {kind} = this.quarantine.check([part], false, this.now);
		return kind === 'allowed';
	}

	eventsOf(event: string): ReadonlyArray<Readonly<Record<string, unknown>>> {
		return this.lines.filter(line => line.event === event);
	}
}

function parseObject(text: string): Readonly<Record<string, unknown>> {
	const value: unknown = JSON.parse(text);
	assert.ok(typeof value === 'object' && value !== null);
	return Object.fromEntries(Object.entries(value));
}

let entry: QuarantinedEntry;

describe('PartQuarantine', () => {
	beforeEach(() => {
		entry = QuarantinedEntry.create();
	});

	describe('of a part under which servers end', () => {
		it('refuses it, says why, and keeps it in the store', () => {
			entry.crash(3);
			assert.equal(entry.isAllowed(), false);
			assert.equal(entry.eventsOf('partsSuspected').length, 3);
			const [line] = entry.eventsOf('partQuarantined');
			assert.equal(line?.part, part);
			assert.equal(line?.source, 'calls');
			assert.deepEqual(line?.ends, ['server-0@1', 'server-1@1', 'server-2@1']);
			assert.deepEqual([...entry.stored.keys()], [part]);
		});

		// Guards against requests that crash servers at which they waited when their part was quarantined.
		it('takes back what waits at other servers with it', () => {
			entry.send(part, 'server-9');
			entry.send('service/other', 'server-8');
			entry.crash(3);
			assert.deepEqual(entry.recalled, ['server-9']);
		});

		// Guards against a part that is asked for so often that all its servers end within a moment, and that nobody notes.
		it('notes a quarantine that only time brings', () => {
			for (let i = 0; i < 6; i++) {
				const exposure = entry.send(part, `server-${i}`);
				exposure.onHead();
				exposure.onBroke();
			}

			assert.equal(entry.isAllowed(), true);
			entry.send(part, 'server-9');
			entry.wait(1000);
			entry.quarantine.checkServers(entry.now);
			assert.equal(entry.isAllowed(), false);
			assert.equal(entry.eventsOf('partQuarantined').length, 1);
			assert.deepEqual(entry.recalled, ['server-9']);
			assert.deepEqual([...entry.stored.keys()], [part]);
		});

		it('writes it to the store at its owner only', () => {
			entry = QuarantinedEntry.create(false);
			entry.crash(3);
			assert.equal(entry.isAllowed(), false);
			assert.equal(entry.stored.size, 0);
		});
	});

	describe('of an answer that goes on', () => {
		// Guards against a sound part that stays quarantined although its requests are answered.
		it('frees its parts, here and at the others', () => {
			const exposure = entry.send(part, 'server-9');
			entry.crash(3);
			exposure.onHead();
			exposure.onProgress();
			assert.equal(entry.isAllowed(), true);
			assert.deepEqual(entry.notes.at(-1)?.cleared, [{part, agoMs: 0}]);
			assert.equal(entry.eventsOf('partCleared').length, 1);
			assert.equal(entry.stored.size, 0);
		});

		it('tells nobody of parts without evidence', () => {
			const exposure = entry.send(part, 'server-9');
			exposure.onHead();
			exposure.onProgress();
			assert.deepEqual(entry.notes, []);
		});
	});

	describe('of other entries', () => {
		// Guards against entries of which each has to lose three servers by itself.
		it('takes evidence from their notes', () => {
			const other = QuarantinedEntry.create();
			other.crash(3);
			for (const note of other.notes) {
				entry.quarantine.onNote(
					{type: 'partNote', reportId: '', ...note},
					peer.id,
					entry.now,
				);
				entry.now += 1000;
			}

			assert.equal(entry.isAllowed(), false);
			assert.equal(entry.eventsOf('partQuarantined')[0]?.source, peer.id);
		});

		// Guards against an entry that was cut off, or has just started, and sends what the others know to crash servers.
		it('fetches their evidence if it has another digest', async () => {
			const other = QuarantinedEntry.create();
			other.crash(3);
			entry.fetched = other.quarantine.entries(other.now);
			const digest = other.quarantine.digest(other.now);
			await entry.quarantine.onDigest(peer, digest);
			assert.equal(entry.isAllowed(), false);
			entry.now += suspectsFetchIntervalMs;
			await entry.quarantine.onDigest(peer, digest);
			assert.equal(entry.fetches, 1);
		});

		it('fetches nothing from entries without a quarantine, and not at each heartbeat', async () => {
			await entry.quarantine.onDigest(peer, undefined);
			await entry.quarantine.onDigest(peer, 'x');
			await entry.quarantine.onDigest(peer, 'x');
			assert.equal(entry.fetches, 1);
		});

		it('takes a lifted quarantine back', () => {
			entry.crash(3);
			const cleared = [{part, agoMs: 0}];
			entry.quarantine.onNote(
				{type: 'partNote', reportId: '', suspects: [], cleared},
				peer.id,
				entry.now + 1,
			);
			assert.equal(entry.isAllowed(), true);
		});
	});

	describe('of an entry that starts', () => {
		// Guards against what all entries forget when they end at once.
		it('reads the store until it answers', async t => {
			t.mock.timers.enable({apis: ['setTimeout']});
			const before = QuarantinedEntry.create();
			before.crash(3);
			entry.stored.set(part, before.stored.get(part)!);
			entry.storeFailures = 1;
			const isRestored = entry.quarantine.restore();
			await nextTurn();
			t.mock.timers.tick(10_000);
			await isRestored;
			assert.deepEqual(entry.errors, ['suspects']);
			assert.equal(entry.isAllowed(), false);
			assert.equal(entry.eventsOf('partQuarantined')[0]?.source, 'store');
		});
	});

	describe('of a trial', () => {
		it('is told to the others and kept in the store', () => {
			entry.crash(3);
			entry.wait(60_000);
			const {quarantine} = entry;
			const verdict = quarantine.check([part], false, entry.now);
			assert.deepEqual(verdict, {kind: 'trial', part});
			quarantine.startTrial(part, 'call-1', entry.now);
			assert.equal(entry.isAllowed(), false);
			assert.equal(entry.notes.at(-1)?.suspects[0]?.trials, 1);
			assert.equal(entry.stored.get(part)?.trials, 1);
			assert.equal(entry.eventsOf('partTrial')[0]?.request, 'call-1');
		});
	});

	describe('of operators', () => {
		it('lists quarantined parts and lifts one', () => {
			entry.crash(3);
			const {quarantine} = entry;
			const list = quarantine.respond('GET', '/quarantine', entry.now);
			const listed = parseObject(list.body);
			assert.equal(parseObject(JSON.stringify(listed['0'])).part, part);
			const lift = `/quarantine?part=${encodeURIComponent(part)}`;
			assert.equal(quarantine.respond('DELETE', lift, entry.now).status, 200);
			assert.equal(entry.isAllowed(), true);
			entry.wait(1000);
			assert.equal(entry.notes.at(-1)?.cleared[0]?.part, part);
			assert.equal(quarantine.respond('DELETE', lift, entry.now).status, 404);
		});

		it('refuses what names no part', () => {
			for (const path of ['/quarantine', '/quarantine?', '//?part', '?%']) {
				const {status} = entry.quarantine.respond('DELETE', path, entry.now);
				assert.equal(status, path === '//?part' ? 404 : 400, path);
			}

			const {status} = entry.quarantine.respond('POST', '?part=x', entry.now);
			assert.equal(status, 400);
		});
	});
});
