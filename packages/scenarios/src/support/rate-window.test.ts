import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findLargestExcess} from './rate-window.js';

const limit = {tokensPerSecond: 100, burstTokens: 200};

describe('findLargestExcess', () => {
	it('returns undefined if no window exceeds the rate and burst', () => {
		const spends = [0, 0, 1000, 2000].map(at => ({at, tokens: 100}));
		assert.equal(findLargestExcess(spends, limit, 0), undefined);
	});

	it('finds the window that exceeds the limit after others that do not', () => {
		const spends = [0, 5000, 5000, 5500].map(at => ({at, tokens: 100}));
		assert.deepEqual(findLargestExcess(spends, limit, 0), {
			from: 5000,
			to: 5500,
			spent: 300,
			allowed: 250,
		});
	});

	it('tolerates the slack between a spend and its timestamp', () => {
		const spends = [0, 0, 900].map(at => ({at, tokens: 100}));
		assert.notEqual(findLargestExcess(spends, limit, 0), undefined);
		assert.equal(findLargestExcess(spends, limit, 100), undefined);
	});
});
