import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import type {PartNote} from '@balsamtray/protocol';
import {
	maxPartsPerNote,
	maxQueuedParts,
	partNoteIntervalMs,
} from './constants.js';
import {PartNoteQueue} from './part-note-queue.js';

let now: number;
let queue: PartNoteQueue;
let notes: Array<Pick<PartNote, 'suspects' | 'cleared'>>;
let timers: Array<() => void>;
let ranks: Map<string, number>;

/** Runs the timer of the next note. Returns whether there was one. */
function nextInterval(): boolean {
	now += partNoteIntervalMs;
	const run = timers.shift();
	run?.();
	return run !== undefined;
}

describe('PartNoteQueue', () => {
	beforeEach(() => {
		now = 1000;
		notes = [];
		timers = [];
		ranks = new Map();
		queue = PartNoteQueue.create({
			clock: () => now,
			schedule(run) {
				timers.push(run);
			},
			rank: part => ranks.get(part) ?? 0,
			send(note) {
				notes.push(note);
			},
		});
	});

	it('sends the first evidence at once', () => {
		queue.addEnds('a', 's1', 990);
		assert.deepEqual(notes, [
			{
				suspects: [{part: 'a', ends: [{start: 's1', agoMs: 10}], trials: 0}],
				cleared: [],
			},
		]);
		nextInterval();
		assert.equal(notes.length, 1);
	});

	it('sends what comes within an interval in one note', () => {
		queue.addEnds('a', 's1', 1000);
		queue.addEnds('b', 's1', 1000);
		queue.addEnds('b', 's2', 1010);
		queue.addTrial('c', 2, 1000);
		queue.addCleared(['d'], 1000);
		nextInterval();
		assert.deepEqual(notes.at(-1), {
			suspects: [
				{
					part: 'b',
					ends: [
						{start: 's1', agoMs: 50},
						{start: 's2', agoMs: 40},
					],
					trials: 0,
				},
				{part: 'c', ends: [], trials: 2, trialAgoMs: 50},
			],
			cleared: [{part: 'd', agoMs: 50}],
		});
	});

	// Guards against callers who let entries flood each other with evidence on parts that come once.
	it('sends one note in an interval, and parts with most evidence first', () => {
		queue.addEnds('first', 's1', now);
		for (let i = 0; i < 3 * maxPartsPerNote; i++) {
			queue.addEnds(`part-${i}`, 's1', now);
		}

		ranks.set(`part-${2 * maxPartsPerNote}`, 3);
		nextInterval();
		assert.equal(notes.length, 2);
		assert.equal(notes[1]!.suspects.length, maxPartsPerNote);
		assert.equal(notes[1]!.suspects[0]!.part, `part-${2 * maxPartsPerNote}`);
	});

	it('keeps a bounded number of parts', () => {
		queue.addEnds('first', 's1', now);
		for (let i = 0; i < 2 * maxQueuedParts; i++) {
			queue.addEnds(`part-${i}`, 's1', now);
			queue.addCleared([`clear-${i}`], now);
		}

		while (nextInterval()) {
			// Sends all that is left.
		}

		const sent = notes.flatMap(({suspects}) => suspects).length;
		const cleared = notes.flatMap(note => note.cleared).length;
		assert.equal(sent, 1 + maxQueuedParts);
		assert.equal(cleared, maxQueuedParts);
	});
});
