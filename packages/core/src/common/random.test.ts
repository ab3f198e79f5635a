import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from './random.js';

describe('createRandom', () => {
	describe('with the same seed', () => {
		it('gives the same numbers', () => {
			const first = createRandom(7);
			const second = createRandom(7);
			for (let i = 0; i < 100; i++) {
				assert.equal(first(), second());
			}
		});
	});

	describe('over many numbers', () => {
		it('stays in [0, 1) with a mean close to 0.5', () => {
			const random = createRandom(1);
			let sum = 0;
			for (let i = 0; i < 10_000; i++) {
				const value = random();
				assert.ok(value >= 0 && value < 1);
				sum += value;
			}

			assert.ok(Math.abs(sum / 10_000 - 0.5) < 0.02);
		});
	});
});
