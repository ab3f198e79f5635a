import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ColdStart} from './cold-start.js';

describe('ColdStart', () => {
	it('raises the concurrency limit by one with each completed request until the engine is warm', () => {
		const cold = ColdStart.create(1, 3);
		assert.ok(cold.canHandle(1));
		assert.ok(!cold.canHandle(2));
		cold.recordCompletion();
		assert.ok(cold.canHandle(2));
		cold.recordCompletion();
		assert.ok(!cold.isCold);
		assert.ok(cold.canHandle(100));
		cold.reset();
		assert.ok(!cold.canHandle(2));
	});
});
