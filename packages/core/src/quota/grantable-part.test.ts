import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {CustomerRule} from '../authority/types.js';
import {grantablePart, reachOf, type RateSharer} from './grantable-part.js';
import {serverLimitName} from './server-limit-rules.js';

const customer: CustomerRule = {
	name: 'c',
	keys: [],
	priority: undefined,
	unitsPerSecond: 100,
	burstUnits: 50,
	isMeteredInTokens: false,
	plainTokens: 1,
};
const maxCutServingMs = 5000;
const limit = {...customer, name: serverLimitName('s')};

/** Entries of a zone, of which some are watched and some of these are lost. */
function zoneOf(
	zone: string,
	{count, watched, lost, lostForMs = 1000}: Record<string, number>,
): readonly RateSharer[] {
	return Array.from({length: count!}, (_, i) => ({
		zone,
		isWatched: i < watched!,
		lostForMs: i < lost! ? lostForMs : undefined,
	}));
}

const rateOf = (rule: CustomerRule, ...zones: Array<readonly RateSharer[]>) =>
	grantablePart(rule, reachOf(zones.flat(), maxCutServingMs)).unitsPerSecond;

// Guards against both sides of a cut that grant a whole rate (LIMIT; QUOTA, review case 2).
describe('the part of a rate that its owner may grant', () => {
	for (const rule of [customer, limit]) {
		describe(rule === limit ? "of a server's limit" : "of a customer's", () => {
			it('is the whole one while no entry is lost, watched or not', () => {
				const near = zoneOf('a', {count: 7, watched: 2, lost: 0});
				const far = zoneOf('b', {count: 8, watched: 0, lost: 0});
				assert.equal(rateOf(rule, near, far), 100);
				assert.equal(rateOf(rule), 100);
			});

			it('leaves out a zone whose watched entries are all lost', () => {
				const near = zoneOf('a', {count: 7, watched: 3, lost: 0});
				const far = zoneOf('b', {count: 8, watched: 2, lost: 2});
				assert.equal(rateOf(rule, near, far), 50);
			});

			it('leaves out only the lost entries of a zone that is reached', () => {
				const near = zoneOf('a', {count: 7, watched: 3, lost: 1});
				const far = zoneOf('b', {count: 8, watched: 2, lost: 1});
				assert.equal(rateOf(rule, near, far), 87.5);
			});

			it('adds up to the rate on both sides of a cut', () => {
				const inside = rateOf(
					rule,
					zoneOf('a', {count: 7, watched: 7, lost: 0}),
					zoneOf('b', {count: 12, watched: 3, lost: 3}),
				);
				const outside = rateOf(
					rule,
					zoneOf('b', {count: 11, watched: 4, lost: 0}),
					zoneOf('a', {count: 8, watched: 1, lost: 1}),
				);
				assert.equal(inside + outside, 100);
			});
		});
	}

	it('is the whole rate of a customer if one entry of many is lost', () => {
		const others = zoneOf('a', {count: 23, watched: 5, lost: 1});
		assert.equal(rateOf(customer, others), 100);
	});

	it('is the whole rate of a customer again once fewer entries than stay can serve no more', () => {
		const lostForMs = maxCutServingMs + 1;
		const near = zoneOf('a', {count: 11, watched: 4, lost: 0});
		const far = zoneOf('b', {count: 8, watched: 2, lost: 2, lostForMs});
		assert.equal(rateOf(customer, near, far), 100);
		const most = zoneOf('b', {count: 12, watched: 2, lost: 2, lostForMs});
		assert.equal(rateOf(customer, near, most), 50);
	});
});
