import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom, type Random} from '../common/random.js';
import {ListFollower} from './list-follower.testing.js';
import type {ServerChange, ServerRecord} from './types.js';

const schedules = 1000;
const stepMs = 50;
const eventfulMs = 4000;
const quietMs = 6000;
/** Interval of the reads of the store, and of the relayed copies, in milliseconds. */
const readMs = 800;
const relayMs = 250;
/** Time after a rewind within which the servers have written their lost rows again, in milliseconds. */
const maxRewriteMs = 1500;

const serverIds = ['a', 'b', 'c'];

type Exit = 'ready' | 'draining' | 'removed';

/** The servers' rows in a store that can come back from a copy. */
class ServerTable {
	era = 0;
	/** What the servers have said of themselves. They never come back. */
	readonly truth = new Map<string, Exit>();
	private _version = 0;
	private _history: Array<{
		readonly row: ServerChange;
		readonly at: number;
	}> = [];

	private _rewrites: Array<{readonly at: number; readonly id: string}> = [];

	say(id: string, state: Exit, now: number): void {
		this.truth.set(id, state);
		this._write(id, now);
	}

	rewind(depthMs: number, random: Random, now: number): void {
		const kept = this._history.filter(({at}) => at <= now - depthMs);
		const lost = new Set(
			this._history.slice(kept.length).map(({row: {id}}) => id),
		);
		this._history = kept;
		this._version = kept.at(-1)?.row.rowVersion ?? 0;
		this.era++;
		for (const id of lost) {
			this._rewrites.push({at: now + random() * maxRewriteMs, id});
		}
	}

	step(now: number): void {
		const due = this._rewrites.filter(({at}) => at <= now);
		this._rewrites = this._rewrites.filter(({at}) => at > now);
		for (const {id} of due) {
			this._write(id, now);
		}
	}

	read(after: number | undefined) {
		if (after !== undefined && after > this._version) {
			return undefined;
		}

		const rows = new Map(this._history.map(({row}) => [row.id, row]));
		return {
			rows: [...rows.values()].filter(({rowVersion, record}) =>
				after === undefined ? record !== undefined : rowVersion > after,
			),
			era: this.era,
			version: this._version,
		};
	}

	private _write(id: string, now: number): void {
		this._version++;
		const row = {
			id,
			rowVersion: this._version,
			record: recordOf(id, this.truth.get(id)!),
		};
		this._history.push({row, at: now});
	}
}

function recordOf(id: string, state: Exit): ServerRecord | undefined {
	return state === 'removed'
		? undefined
		: {
				id,
				service: 's',
				address: id,
				zone: 'z',
				slots: 1,
				isDraining: state === 'draining',
				coldLeftMs: 0,
				models: [],
			};
}

function play(seed: number): void {
	const random = createRandom(seed);
	const table = new ServerTable();
	const reader = new ListFollower();
	const relay = new ListFollower();
	const events = [
		...serverIds.map(id => ({
			at: 0,
			run(now: number) {
				table.say(id, 'ready', now);
			},
		})),
		...serverIds.slice(1).flatMap(id => {
			const drainAt = 1000 + random() * (eventfulMs - 1000);
			const removeAt = drainAt + random() * 2000;
			return [
				{
					at: drainAt,
					run(now: number) {
						table.say(id, 'draining', now);
					},
				},
				{
					at: removeAt,
					run(now: number) {
						if (random() < 0.5) {
							table.say(id, 'removed', now);
						}
					},
				},
			];
		}),
		...Array.from({length: random() < 0.5 ? 1 : 2}, () => ({
			at: 1000 + random() * eventfulMs,
			run(now: number) {
				table.rewind(random() * eventfulMs, random, now);
			},
		})),
	].toSorted((a, b) => a.at - b.at);
	const exited = new Map<ListFollower, Set<string>>([
		[reader, new Set()],
		[relay, new Set()],
	]);
	for (let now = 0; now < eventfulMs + 1000 + quietMs; now += stepMs) {
		table.step(now);
		while (events.length > 0 && events[0]!.at <= now) {
			events.shift()!.run(now);
		}

		if (now % readMs === 0) {
			reader.read(table, now);
		}

		if (now % relayMs === 0) {
			relay.copyFrom(reader, now);
		}

		for (const [{fleet}, known] of exited) {
			for (const id of serverIds) {
				const isUsable = fleet.isUsable(id, now);
				assert.ok(!isUsable || !known.has(id), `${id} is used again`);
				if (fleet.server(id)?.record.isDraining === true) {
					known.add(id);
				}
			}
		}
	}

	const end = eventfulMs + 1000 + quietMs;
	for (const {fleet} of [reader, relay]) {
		for (const id of serverIds) {
			const isExpected = table.truth.get(id) === 'ready';
			assert.equal(fleet.isUsable(id, end), isExpected, id);
		}
	}
}

describe('the list of servers of a store that comes back from copies', () => {
	// Guards against servers that are used again after they have left, and against those that are not (DRAIN).
	it(`is the newest in the end, and no entry uses a server again that it knew to leave (${schedules} schedules)`, () => {
		for (let seed = 1; seed <= schedules; seed++) {
			try {
				play(seed);
			} catch (error) {
				throw new Error(`seed ${seed}: ${String(error)}`, {cause: error});
			}
		}
	});
});
