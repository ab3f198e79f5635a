import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {connectionBytes} from './constants.js';
import {deriveIntakeLimits} from './intake-limits.js';

const mebibyte = 1024 * 1024;

describe('deriveIntakeLimits', () => {
	const sheet = {
		memoryBytes: 350e6,
		heapBytes: 200 * mebibyte,
		descriptors: 4100,
	};

	it('bounds all that is kept by the memory, and connections by the descriptors', () => {
		const {maxBytes, maxConnections} = deriveIntakeLimits(sheet, 4 * mebibyte);
		assert.ok(maxBytes < sheet.memoryBytes / 3);
		assert.ok(maxConnections < sheet.descriptors - 200);
	});

	it('leaves idle connections no more than a part of the memory', () => {
		const host = {...sheet, memoryBytes: 100e6};
		const {maxBytes, maxConnections} = deriveIntakeLimits(host, mebibyte);
		assert.ok(maxConnections * connectionBytes < maxBytes);
	});

	it('leaves callers most descriptors of a process that has few', () => {
		const host = {...sheet, descriptors: 256};
		assert.ok(deriveIntakeLimits(host, mebibyte).maxConnections >= 128);
	});

	it('is bounded by a small heap', () => {
		const host = {...sheet, heapBytes: 50 * mebibyte};
		assert.ok(deriveIntakeLimits(host, mebibyte).maxBytes <= 25 * mebibyte);
	});

	it('always takes one request inside the limits', () => {
		const host = {...sheet, memoryBytes: 30e6};
		assert.ok(deriveIntakeLimits(host, 64 * mebibyte).maxBytes > 64 * mebibyte);
	});
});
