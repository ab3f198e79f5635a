import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {worstExcess} from './rate-window.js';

const limit = {tokensPerSecond: 100, burstTokens: 200};

describe('worstExcess', () => {
	it('finds nothing while rate and burst are kept', () => {
		const spends = [0, 0, 1000, 2000].map(at => ({at, tokens: 100}));
		assert.equal(worstExcess(spends, limit, 0), undefined);
	});

	it('finds a window that spent too much, also in the middle', () => {
		const spends = [0, 5000, 5000, 5500].map(at => ({at, tokens: 100}));
		assert.deepEqual(worstExcess(spends, limit, 0), {
			from: 5000,
			to: 5500,
			spent: 300,
			allowed: 250,
		});
	});

	it('allows for the time until a spend was noted', () => {
		const spends = [0, 0, 900].map(at => ({at, tokens: 100}));
		assert.notEqual(worstExcess(spends, limit, 0), undefined);
		assert.equal(worstExcess(spends, limit, 100), undefined);
	});
});
