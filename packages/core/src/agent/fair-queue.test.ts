import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ArrivalQueue} from './arrival-queue.js';
import {FairQueue} from './fair-queue.js';
import type {QueuedRequest, RequestQueue} from './request-queue.js';

const requestsPerCustomer = 40;
const concurrency = 4;
const largestCost = 50;

type Load = {readonly weight: number; readonly costs: readonly number[]};

function requestOf(
	customer: string,
	weight: number,
	cost: number,
	deadlineAt = 1000,
): QueuedRequest {
	return {
		dispatch: {
			attemptId: `${customer}-${cost}-${deadlineAt}`,
			requestId: '',
			entryId: '',
			configVersion: 0,
			customer,
			weight,
			target: {kind: 'service', service: 's', route: 'r'},
			isRepeatable: true,
			promptTokens: cost,
			maxTokens: 0,
			timeLeftMs: 1000,
			fingerprint: '',
		},
		arrivedAt: 0,
		deadlineAt,
		cost,
	};
}

function nextRequest(queue: RequestQueue): QueuedRequest | undefined {
	const [request] = queue.inOrder();
	return request;
}

/** Serves customers that always have work. Returns the largest lead of one over another, in tokens per weight. */
function largestLead(
	queue: RequestQueue,
	loads: readonly Load[],
	usedShare: number,
): number {
	for (const [i, {weight, costs}] of loads.entries()) {
		for (const cost of costs) {
			queue.add(requestOf(`c${i}`, weight, cost));
		}
	}

	const served = new Map<string, number>(loads.map((_, i) => [`c${i}`, 0]));
	const left = new Map(loads.map(({costs}, i) => [`c${i}`, costs.length]));
	const running: QueuedRequest[] = [];
	let lead = 0;
	while ([...left.values()].every(count => count > 0)) {
		const request = nextRequest(queue)!;
		const {customer, weight} = request.dispatch;
		queue.onStarted(request);
		running.push(request);
		left.set(customer, left.get(customer)! - 1);
		if (running.length > concurrency) {
			const ended = running.shift()!;
			queue.onFinished(ended, ended.cost * usedShare);
		}

		const used = (request.cost * usedShare) / weight;
		served.set(customer, served.get(customer)! + used);
		const shares = [...served.values()];
		lead = Math.max(lead, Math.max(...shares) - Math.min(...shares));
	}

	return lead;
}

const loads = fc.array(
	fc.record({
		weight: fc.integer({min: 1, max: 4}),
		costs: fc.array(fc.integer({min: 1, max: largestCost}), {
			minLength: requestsPerCustomer,
			maxLength: requestsPerCustomer,
		}),
	}),
	{minLength: 2, maxLength: 5},
);

describe('FairQueue', () => {
	describe('between customers that always have work', () => {
		it('bounds the lead of one over another to a few requests', () => {
			// Overestimated costs are corrected only at the end, so running requests add to the lead.
			const bound = (concurrency + 2) * largestCost;
			fc.assert(
				fc.property(
					loads,
					fc.double({min: 0.1, max: 1, noNaN: true}),
					(load, usedShare) => {
						const lead = largestLead(FairQueue.create(), load, usedShare);
						assert.ok(lead <= bound, `${lead} tokens`);
					},
				),
				{numRuns: 1000, seed: 1},
			);
		});

		it('bounds the lead where a FIFO queue exceeds the bound', () => {
			const load: readonly Load[] = [
				{weight: 1, costs: Array.from({length: 40}, () => largestCost)},
				{weight: 1, costs: Array.from({length: 40}, () => largestCost)},
			];
			const bound = (concurrency + 2) * largestCost;
			assert.ok(largestLead(FairQueue.create(), load, 1) <= bound);
			assert.ok(largestLead(ArrivalQueue.create(), load, 1) > bound);
		});
	});

	describe('when a customer returns from idle', () => {
		it('gives no credit for the idle time', () => {
			const queue = FairQueue.create();
			const busy = Array.from({length: 10}, (_, i) =>
				requestOf('busy', 1, 10, 1000 + i),
			);
			for (const request of busy) {
				queue.add(request);
			}

			for (const request of busy.slice(0, 8)) {
				queue.onStarted(request);
			}

			for (let i = 0; i < 5; i++) {
				queue.add(requestOf('back', 1, 10, 1000 + i));
			}

			const order = [...queue.inOrder()].map(({dispatch}) => dispatch.customer);
			assert.deepEqual(order.slice(0, 4).toSorted(), [
				'back',
				'back',
				'busy',
				'busy',
			]);
		});
	});

	describe('within a customer', () => {
		it('runs the earliest deadline first', () => {
			const queue = FairQueue.create();
			for (const deadlineAt of [300, 100, 200, 100]) {
				queue.add(requestOf('c', 1, 10, deadlineAt));
			}

			const deadlines = [...queue.inOrder()].map(({deadlineAt}) => deadlineAt);
			assert.deepEqual(deadlines, [100, 100, 200, 300]);
		});
	});

	describe('when the queue is full', () => {
		it('drops a request of the customer with the most waiting tokens, not the new one', () => {
			const queue = FairQueue.create();
			for (let i = 0; i < 5; i++) {
				queue.add(requestOf('large', 1, 10, 1000 + i));
			}

			const newest = requestOf('small', 1, 10);
			assert.equal(queue.pickRequestToDrop(newest).dispatch.customer, 'large');
			const own = requestOf('large', 1, 10, 2000);
			assert.equal(queue.pickRequestToDrop(own), own);
		});
	});
});
