import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {describe, it} from 'node:test';
import {EventLog} from './event-log.js';
import type {LogEvent} from './log-events.js';

/** A reader that can stop reading. */
class Reader extends Writable {
	static create(): Reader {
		return new Reader();
	}

	readonly lines: string[] = [];
	isPaused = false;
	private _resume: (() => void) | undefined;

	private constructor() {
		super({highWaterMark: 1024});
	}

	override _write(
		chunk: Uint8Array,
		_encoding: string,
		done: () => void,
	): void {
		this.lines.push(chunk.toString().trim());
		if (this.isPaused) {
			this._resume = done;
		} else {
			done();
		}
	}

	readOn(): void {
		this.isPaused = false;
		this._resume?.();
	}
}

const answered: LogEvent = {
	event: 'request',
	id: 'x',
	status: 200,
	sends: [],
	totalMs: 1,
};
const failed: LogEvent = {...answered, reason: 'deadline', status: 504};

function kindsIn(reader: Reader, kind: string): number {
	return reader.lines.filter(line => line.includes(`"event":"${kind}"`)).length;
}

describe('EventLog', () => {
	it('bounds the lines of a kind in a second and tells how many it dropped', () => {
		let now = 0;
		const reader = Reader.create();
		const log = EventLog.create('h', () => now, reader);
		for (let i = 0; i < 1000; i++) {
			log.write(answered);
		}

		const written = kindsIn(reader, 'request');
		assert.ok(written < 1000);
		now = 1000;
		log.write(answered);
		assert.equal(kindsIn(reader, 'linesDropped'), 1);
		assert.ok(
			reader.lines.some(line => line.includes(`"lines":${1000 - written}`)),
		);
	});

	it('goes on without a reader that stops reading, within a bound of memory', () => {
		let now = 0;
		const reader = Reader.create();
		reader.isPaused = true;
		const log = EventLog.create('h', () => now, reader);
		for (let i = 0; i < 100_000; i++) {
			now += 5;
			log.write(answered);
		}

		assert.ok(reader.writableLength < 300 * 1024);
		assert.equal(reader.lines.length, 1);
		reader.readOn();
	});

	it('drops lines about failed requests last', () => {
		let now = 0;
		const reader = Reader.create();
		reader.isPaused = true;
		const log = EventLog.create('h', () => now, reader);
		for (let i = 0; i < 10_000; i++) {
			now += 10;
			log.write(answered);
		}

		log.write({...failed, id: 'the failed one'});
		const waiting = reader.writableLength;
		log.write(answered);
		assert.equal(reader.writableLength, waiting);
	});
});
