import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {WantedAdapter} from './adapter-loader.js';
import {leastServedCustomerFirst} from './agent-policy.js';

function wanted(
	servedName: string,
	customer: string,
	waiters: number,
	share = 1,
): WantedAdapter {
	return {servedName, weights: servedName, customer, share, waiters};
}

function namesInOrder(
	adapters: readonly WantedAdapter[],
	loads: Readonly<Record<string, number>>,
): readonly string[] {
	return leastServedCustomerFirst(
		adapters,
		customer => loads[customer] ?? 0,
	).map(({servedName}) => servedName);
}

describe('leastServedCustomerFirst', () => {
	describe('with a customer that has many recent loads', () => {
		it('loads for the other customers first, even if more of its requests wait', () => {
			const adapters = [wanted('a1', 'a', 9), wanted('b1', 'b', 1)];
			assert.deepEqual(namesInOrder(adapters, {a: 5, b: 0}), ['b1', 'a1']);
		});

		it('divides loads by the share', () => {
			const adapters = [wanted('a1', 'a', 1, 4), wanted('b1', 'b', 1, 1)];
			assert.deepEqual(namesInOrder(adapters, {a: 6, b: 2}), ['a1', 'b1']);
		});
	});

	describe('with many adapters of one customer', () => {
		it('alternates with the other customers', () => {
			const adapters = [
				wanted('a1', 'a', 1),
				wanted('a2', 'a', 1),
				wanted('a3', 'a', 1),
				wanted('b1', 'b', 1),
			];
			const order = namesInOrder(adapters, {});
			assert.ok(order.indexOf('b1') < order.indexOf('a2'));
		});
	});

	describe('within one customer', () => {
		it('loads the adapter with the most waiting requests first', () => {
			const adapters = [wanted('a1', 'a', 1), wanted('a2', 'a', 3)];
			assert.deepEqual(namesInOrder(adapters, {}), ['a2', 'a1']);
		});
	});
});
