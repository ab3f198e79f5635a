import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isInsideRate, findLargestExcess} from './window-check.js';

const limit = {from: 0, tokensPerSecond: 100, burstTokens: 50};

describe('findLargestExcess', () => {
	describe('with spending exactly at rate and burst', () => {
		it('finds no excess', () => {
			const spends = [
				{at: 0, tokens: 50},
				{at: 500, tokens: 50},
				{at: 1000, tokens: 50},
			];
			assert.equal(findLargestExcess(spends, [limit]), undefined);
		});
	});

	describe('with one token too many in a window', () => {
		it('returns that window', () => {
			const spends = [
				{at: 0, tokens: 10},
				{at: 5000, tokens: 50},
				{at: 5200, tokens: 21},
			];
			const excess = findLargestExcess(spends, [limit]);
			assert.equal(excess?.from, 5000);
			assert.equal(excess.spent - excess.allowed, 1);
		});
	});

	describe('after a reduction of the limit', () => {
		it('allows the old limit for five seconds and no longer', () => {
			const reduced = {from: 10_000, tokensPerSecond: 10, burstTokens: 5};
			const early = [{at: 14_000, tokens: 50}];
			const late = [{at: 15_001, tokens: 50}];
			assert.equal(findLargestExcess(early, [limit, reduced]), undefined);
			assert.notEqual(findLargestExcess(late, [limit, reduced]), undefined);
		});
	});
});

describe('isInsideRate', () => {
	it('is true up to the tokens left in one global bucket', () => {
		const spends = [{at: 0, tokens: 50}];
		assert.ok(isInsideRate(spends, limit, 10, 100));
		assert.ok(!isInsideRate(spends, limit, 11, 100));
		assert.ok(isInsideRate(spends, limit, 50, 10_000));
		assert.ok(!isInsideRate(spends, limit, 51, 10_000));
	});
});
