import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {maxEventBytes} from './constants.js';
import {EventStreamSplitter} from './event-stream-splitter.js';

/** Maximum time to split one event of 256 KB, in milliseconds. Linear cost takes a few. */
const maxSplitMs = 500;

/** Splits a stream that arrives in chunks of a size. Returns its complete events. */
function split(stream: Uint8Array, chunkBytes: number): string {
	const splitter = EventStreamSplitter.create();
	let events = '';
	for (let i = 0; i < stream.length; i += chunkBytes) {
		const {bytes} = splitter.push(stream.subarray(i, i + chunkBytes));
		events += Buffer.from(bytes).toString();
	}

	return events;
}

describe('EventStreamSplitter', () => {
	describe('one long event', () => {
		// Guards against an entry whose event loop stood still for seconds, since each chunk was joined with all before it.
		it('costs time in proportion to its length when it arrives in small pieces', () => {
			const event = Buffer.from(`data: ${'x'.repeat(256 * 1024)}\n\n`);
			const startedAt = performance.now();
			assert.equal(split(event, 16), event.toString());
			const tookMs = performance.now() - startedAt;
			assert.ok(tookMs < maxSplitMs, `took ${Math.round(tookMs)} ms`);
		});
	});

	it('reports an event beyond the limit as too long, and no other', () => {
		const splitter = EventStreamSplitter.create();
		splitter.push(new Uint8Array(maxEventBytes));
		assert.equal(splitter.isEventTooLong, false);
		splitter.push(new Uint8Array(1));
		assert.equal(splitter.isEventTooLong, true);
		splitter.push(Buffer.from('\n\nid: 1\n'));
		assert.equal(splitter.isEventTooLong, false);
	});

	// Guards against lengths of outputs that count comments and parts of events.
	it('counts the complete events, and no comments', () => {
		const stream = ': open\n\ndata: a\ndata: b\n\n\nid: 1\r\n\r\n: ping\n\nda';
		for (let size = 1; size <= stream.length; size++) {
			const splitter = EventStreamSplitter.create();
			let count = 0;
			for (let i = 0; i < stream.length; i += size) {
				count += splitter.push(Buffer.from(stream.slice(i, i + size))).events;
			}

			assert.equal(count, 2, `${size} bytes`);
		}
	});

	// Guards against the head of an error among the events of a stream that another server continues (ORDER).
	it('ends before the first event that does not follow the one before', () => {
		const stream = 'id: 3\ndata: a\n\n: ping\n\nid: 5\ndata: b\n\n';
		for (const odd of [
			'HTTP/1.1 500 Error\r\nServer: x\r\n\r\n',
			'data: c\n\n',
			'id: 5\ndata: b\n\n',
			'id: 1\ndata: a\n\n',
		]) {
			const bytes = Buffer.from(`${stream}${odd}id: 6\ndata: d\n\n`);
			const events = EventStreamSplitter.create().push(bytes, '2');
			assert.equal(Buffer.from(events.bytes).toString(), stream, odd);
			assert.equal(events.isInOrder, false);
			assert.equal(events.lastEventId, '5');
		}

		const events = EventStreamSplitter.create().push(Buffer.from(stream), '2');
		assert.equal(events.isInOrder, true);
		assert.equal(events.bytes.length, stream.length);
	});

	it('finds the same events wherever the chunks are cut', () => {
		const stream =
			'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\ndata: c\n\nid: 3';
		const events = stream.slice(0, stream.lastIndexOf('id: 3'));
		for (let size = 1; size <= stream.length; size++) {
			assert.equal(split(Buffer.from(stream), size), events, `${size} bytes`);
		}
	});
});
