import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {wakeIntervalMs} from './constants.js';
import {WaitingLine, type Waiter} from './waiting-line.js';

function waiterOf(
	adapter: string | undefined,
	arrivedAt = 0,
	retry: () => void = () => undefined,
): Waiter {
	return {priority: 0, arrivedAt, adapter, retry};
}

describe('WaitingLine', () => {
	it('counts the requests that wait for an adapter', () => {
		const line = WaitingLine.create();
		const [first, second] = [waiterOf('m/a'), waiterOf('m/a')];
		line.add(first);
		line.add(second);
		line.add(waiterOf(undefined));
		assert.equal(line.waitingFor('m/a'), 2);
		line.remove(first);
		line.remove(first);
		assert.equal(line.waitingFor('m/a'), 1);
		assert.equal(line.size, 2);
	});

	it('tries the waiting requests again in the order of their arrival, once each', async () => {
		const line = WaitingLine.create();
		const tried: string[] = [];
		for (const [name, arrivedAt] of [
			['late', 2],
			['early', 1],
		] as const) {
			const retry = () => {
				tried.push(name);
			};

			line.add(waiterOf('m/a', arrivedAt, retry));
		}

		line.wake();
		line.wake();
		await delay(wakeIntervalMs * 3);
		assert.deepEqual(tried, ['early', 'late']);
		assert.equal(line.waitingFor('m/a'), 0);
	});
});
