import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {describe, it} from 'node:test';
import {ServerState} from '@balsamtray/core';
import {EventLog} from './event-log.js';
import {ServerLog} from './server-log.js';

const record = {
	id: 'x',
	service: 's',
	address: '10.0.0.1:1',
	zone: 'z',
	slots: 1,
	isDraining: false,
	coldLeftMs: 0,
	models: [],
};

describe('ServerLog', () => {
	it('tells of a server that goes or comes while it wants no requests', () => {
		const lines: string[] = [];
		const output = new Writable({
			write(chunk: Uint8Array, _encoding, done) {
				lines.push(chunk.toString());
				done();
			},
		});
		let suspendedForMs = 0;
		const log = ServerLog.create(
			EventLog.create('h', () => 0, output),
			{isLeaving: () => false, suspendedForMs: () => suspendedForMs},
		);
		log.update([ServerState.create(record, 0)]);
		suspendedForMs = 2100.4;
		log.update([]);
		const [ready = '', gone = ''] = lines.join('').split('\n');
		assert.ok(ready.includes('"state":"ready"'));
		assert.ok(!ready.includes('suspendedForMs'));
		assert.ok(gone.includes('"state":"gone","suspendedForMs":2100'), gone);
	});
});
