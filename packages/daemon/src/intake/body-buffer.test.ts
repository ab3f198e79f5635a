import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {BodyBuffer} from './body-buffer.js';
import {blockBytes, minOwnChunkBytes} from './constants.js';

describe('BodyBuffer', () => {
	const collect = (chunks: readonly Uint8Array[]) => {
		const body = BodyBuffer.create();
		for (const chunk of chunks) {
			body.append(chunk);
		}

		return body;
	};

	it('keeps a body of one chunk as it is', () => {
		const chunk = Buffer.from('a whole body');
		const body = collect([chunk]);
		assert.equal(body.keptBytes, chunk.length);
		assert.equal(body.take(), chunk);
		assert.equal(body.keptBytes, 0);
	});

	it('returns an empty body', () => {
		assert.equal(BodyBuffer.create().take().length, 0);
	});

	it('puts chunks of all sizes together in order', () => {
		const lengths = [1, 5, minOwnChunkBytes, 3, 2 * minOwnChunkBytes, 700, 1];
		const chunks = lengths.map((length, i) => Buffer.alloc(length, i));
		assert.deepEqual(
			Buffer.from(collect(chunks).take()),
			Buffer.concat(chunks),
		);
	});

	// The pattern of clients that send each byte in a chunk of its own.
	it('keeps chunks of one byte in blocks that are at most as large as the body', () => {
		const bytes = 1024 * 1024;
		const body = BodyBuffer.create();
		for (let i = 0; i < bytes; i++) {
			body.append(Uint8Array.of(i % 251));
			assert.ok(
				body.keptBytes <=
					Math.min(2 * body.bytes, body.bytes + blockBytes.max) +
						blockBytes.min,
			);
		}

		const whole = body.take();
		assert.equal(whole.length, bytes);
		assert.ok(whole.every((value, i) => value === i % 251));
	});
});
