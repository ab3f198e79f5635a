import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ColdStart} from './cold-start.js';

describe('ColdStart', () => {
	it('bears one request more for each that it completes, until it is warm', () => {
		const cold = ColdStart.create(1, 3);
		assert.ok(cold.bears(1));
		assert.ok(!cold.bears(2));
		cold.completed();
		assert.ok(cold.bears(2));
		cold.completed();
		assert.ok(!cold.isCold);
		assert.ok(cold.bears(100));
		cold.reset();
		assert.ok(!cold.bears(2));
	});
});
