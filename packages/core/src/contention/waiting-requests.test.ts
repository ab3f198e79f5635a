import assert from 'node:assert/strict';
import process from 'node:process';
import {describe, it, type TestContext} from 'node:test';
import fc from 'fast-check';
import {adapterKey} from '../authority/authority-view.js';
import {FleetView} from '../placement/fleet-view.js';
import {longestWaitPlaceShare, waitProbeIntervalMs} from './constants.js';
import type {WaitingRequest} from './waiting-request.js';
import {WaitingRequests} from './waiting-requests.js';

const waiting = (changes: Partial<WaitingRequest> = {}): WaitingRequest => ({
	service: 's',
	model: undefined,
	adapter: undefined,
	restriction: '',
	priority: 0,
	customer: '',
	weight: 1,
	tokens: 1,
	arrivedAt: 0,
	targetAt: undefined,
	deadlineAt: 100_000,
	cause: 'full',
	...changes,
});

const offer = (room: number, adapters: readonly string[] = []) =>
	({kind: 'offer', offer: {service: 's', adapters, room}}) as const;

/** Adds requests and returns them in the order in which single places, offered one after another, went to them. */
function served(requests: readonly WaitingRequest[], now = 0) {
	const queue = WaitingRequests.create<WaitingRequest>();
	const order: WaitingRequest[] = [];
	for (const request of requests) {
		queue.add(request, 0);
	}

	while (queue.size > 0) {
		queue.wake(
			offer(1),
			request => {
				order.push(request);
				return undefined;
			},
			now,
		);
	}

	return order.map(request => requests.indexOf(request));
}

const arbitraryRequest = fc.record({
	priority: fc.integer({min: 0, max: 2}),
	customer: fc.constantFrom('a', 'b', 'c'),
	tokens: fc.integer({min: 1, max: 2000}),
	arrivedAt: fc.integer({min: 0, max: 1000}),
	targetAt: fc.option(fc.integer({min: 0, max: 3000}), {nil: undefined}),
	deadlineAt: fc.integer({min: 1000, max: 5000}),
});

describe('WaitingRequests', () => {
	// The pattern of thousands of requests in a row on many connections: each wake looked at all that wait.
	describe('with thousands of requests for the same', () => {
		const count = 5000;
		let reads = 0;
		const countingReads = (arrivedAt: number): WaitingRequest => ({
			...waiting({arrivedAt, targetAt: 500}),
			get deadlineAt() {
				reads++;
				return 100_000;
			},
		});
		const requests = Array.from({length: count}, (_, i) => countingReads(i));

		const assertFewReads = (now: number) => {
			const queue = WaitingRequests.create<WaitingRequest>();
			for (const request of requests) {
				queue.add(request, 0);
			}

			reads = 0;
			const order: WaitingRequest[] = [];
			const tryRequest = (request: WaitingRequest) => {
				order.push(request);
				return undefined;
			};

			for (let i = 0; i < count; i++) {
				queue.wake(offer(1), tryRequest, now);
			}

			assert.deepEqual(order, requests);
			assert.ok(reads < 10 * count);
		};

		it('looks at few of them for each place', () => {
			assertFewReads(0);
		});

		it('looks at few of them for each place if all are late for their target', () => {
			assertFewReads(50_000);
		});

		it('tries a few of them once for all arrivals of a turn', () => {
			const queue = WaitingRequests.create<WaitingRequest>();
			for (const request of requests) {
				queue.add(request, 0);
			}

			reads = 0;
			const tries = queue.wake(
				{kind: 'arrivals', requests},
				request => {
					queue.add(request, 0);
					return request;
				},
				0,
			);
			assert.ok(tries <= 4);
			assert.ok(reads < 10 * count);
		});
	});

	describe('the order', () => {
		it('is priority, what can be in time, shares of the customers, arrival', () => {
			assert.deepEqual(
				served([waiting({priority: 1}), waiting({arrivedAt: 5})]),
				[1, 0],
			);
			// Guards against places for answers that are late already.
			assert.deepEqual(
				served(
					[
						waiting({deadlineAt: 50}),
						waiting({arrivedAt: 1, targetAt: 50}),
						waiting({arrivedAt: 2, targetAt: 500}),
					],
					100,
				),
				[2, 1, 0],
			);
			assert.deepEqual(
				served([
					waiting({customer: 'a', tokens: 100}),
					waiting({customer: 'a', tokens: 100, arrivedAt: 1}),
					waiting({customer: 'b', tokens: 100, arrivedAt: 2}),
				]),
				[0, 2, 1],
			);
		});

		// Guards against starvation of the last customer, the lowest priority and late requests.
		it('gives every request a place after at most eight times those of the requests before it', () => {
			fc.assert(
				fc.property(
					fc.array(arbitraryRequest, {minLength: 1, maxLength: 6}),
					older => {
						const queue = WaitingRequests.create<WaitingRequest>();
						const first = older.map(changes =>
							waiting({...changes, priority: 9, arrivedAt: -1}),
						);
						for (const request of first) {
							queue.add(request, 0);
						}

						const places = Math.ceil(
							(first.length + 1) / longestWaitPlaceShare,
						);
						for (let i = 0; i < places; i++) {
							queue.add(waiting({arrivedAt: i, customer: `n${i}`}), i);
							queue.add(waiting({arrivedAt: i, customer: `m${i}`}), i);
							queue.wake(offer(1), () => undefined, i);
						}

						assert.ok(first.every(request => !queue.has(request)));
					},
				),
			);
		});

		// Guards against a customer that saves up places while it sends nothing.
		it('earns no credit while idle', () => {
			const queue = WaitingRequests.create<WaitingRequest>();
			const take = (count: number) => {
				const customers: string[] = [];
				queue.wake(
					offer(count),
					({customer}) => {
						customers.push(customer);
						return undefined;
					},
					0,
				);
				return customers;
			};

			for (let i = 0; i < 100; i++) {
				queue.add(waiting({customer: 'busy', arrivedAt: i}), 0);
			}

			take(50);
			for (let i = 0; i < 50; i++) {
				queue.add(waiting({customer: 'idle', arrivedAt: 100 + i}), 0);
			}

			const busy = take(40).filter(name => name === 'busy').length;
			assert.ok(busy >= 18, `${busy}`);
		});
	});

	describe('an event', () => {
		// Guards against free places beside requests that wait, and against more sends than there is room for.
		it('helps as many requests as there is room for, and none that has left', () => {
			fc.assert(
				fc.property(
					fc.array(
						fc.record({
							request: arbitraryRequest,
							adapter: fc.constantFrom('m/a', 'm/b', 'm/c'),
							hasLeft: fc.boolean(),
						}),
						{maxLength: 40},
					),
					fc.integer({min: 0, max: 20}),
					fc.subarray(['m/a', 'm/b', 'm/c']),
					fc.integer({min: 0, max: 2000}),
					(items, room, adapters, freeMemory) => {
						const queue = WaitingRequests.create<WaitingRequest>();
						const requests = items.map(({request, adapter}) =>
							waiting({...request, adapter, model: 'm'}),
						);
						for (const request of requests) {
							queue.add(request, 0);
						}

						for (const [i, {hasLeft}] of items.entries()) {
							if (hasLeft) {
								queue.remove(requests[i]!);
							}
						}

						const sent: WaitingRequest[] = [];
						const tries = queue.wake(
							offer(room, adapters),
							request => {
								if (sent.length < room && request.tokens <= freeMemory) {
									sent.push(request);
									return undefined;
								}

								queue.add(request, 0);
								return request;
							},
							0,
						);
						const eligible = requests.filter(
							({adapter}, i) =>
								adapters.includes(adapter!) && !items[i]!.hasLeft,
						);
						const able = eligible.filter(({tokens}) => tokens <= freeMemory);
						assert.ok(sent.every(request => eligible.includes(request)));
						assert.ok(sent.length <= room);
						assert.ok(
							able.length === 0 || room === 0 || sent.length > 0,
							'a place stays free',
						);
						assert.ok(tries <= sent.length + 3 * adapters.length);
					},
				),
			);
		});

		it('tries the first of each group again after a time without events', () => {
			const queue = WaitingRequests.create<WaitingRequest>();
			const keep = (request: WaitingRequest) => {
				queue.add(request, waitProbeIntervalMs);
				return request;
			};

			queue.add(waiting({adapter: 'm/a', cause: 'awaitAdapter'}), 0);
			queue.add(waiting({adapter: 'm/b', cause: 'awaitAdapter'}), 0);
			queue.add(waiting({adapter: 'm/b', cause: 'awaitAdapter'}), 0);
			assert.equal(queue.nextDueAt(), waitProbeIntervalMs);
			assert.equal(queue.wake({kind: 'due'}, keep, waitProbeIntervalMs - 1), 0);
			assert.equal(queue.wake({kind: 'due'}, keep, waitProbeIntervalMs), 2);
		});
	});

	describe('the processor time of a report with 200 waiting requests for rare adapters', () => {
		const choose = createChoice();

		function measure(
			event: (queue: WaitingRequests<WaitingRequest>) => void,
		): number {
			const queue = WaitingRequests.create<WaitingRequest>();
			for (let i = 0; i < 200; i++) {
				queue.add(
					waiting({
						model: 'm',
						adapter: `m/a${i}`,
						cause: 'awaitAdapter',
						arrivedAt: i,
					}),
					0,
				);
			}

			const rounds = 100;
			const before = process.cpuUsage();
			for (let i = 0; i < rounds; i++) {
				event(queue);
			}

			const {user, system} = process.cpuUsage(before);
			return (user + system) / rounds;
		}

		// Guards against events that cost a choice of a server for each waiting request.
		it('is at most a twentieth of that of the rule before', (t: TestContext) => {
			const retry = (queue: WaitingRequests<WaitingRequest>) => {
				const keep = (request: WaitingRequest) => {
					choose(request.adapter!.slice(2));
					queue.add(request, 0);
					return request;
				};

				return keep;
			};

			const each = measure(queue => {
				queue.wakeEach(retry(queue), 0);
			});
			const targeted = measure(queue => {
				queue.wake(offer(10, ['m/a7']), retry(queue), 0);
			});
			t.diagnostic(
				`${each.toFixed(0)} µs for all, ${targeted.toFixed(0)} µs for those that it can help`,
			);
			assert.ok(targeted < each / 20);
		});
	});
});

/** Returns a choice of a server for an adapter among 30 engines that hold other ones. */
function createChoice(): (adapter: string) => void {
	const fleet = FleetView.create({
		zone: 'z',
		isZoneOut: () => false,
		newestVersion: () => undefined,
		minVersion: () => 0,
		serviceOf: () => undefined,
		coldBound: () => 0,
		entryCount: () => 24,
		onNewWant: () => undefined,
	});
	const ids = Array.from({length: 30}, (_, i) => `e${i}`);
	fleet.apply(
		ids.map(id => ({
			id,
			rowVersion: 1,
			record: {
				id,
				service: 's',
				address: id,
				zone: 'z',
				slots: 64,
				isDraining: false,
				coldLeftMs: 0,
				models: [{name: 'm', adapters: {}}],
			},
		})),
		0,
	);
	for (const [i, id] of ids.entries()) {
		const adapters = Object.fromEntries(
			Array.from({length: 15}, (_, k) => [`h${15 * i + k}`, 1]),
		);
		fleet.noteReport(
			id,
			{
				born: 1,
				sequence: 0,
				isBusy: false,
				running: 20,
				waiting: 0,
				memoryUsed: 0,
				memoryTotal: 1_000_000,
				models: [{name: 'm', adapters}],
				pending: [],
				slowdown: 1,
			},
			0,
		);
	}

	return adapter => {
		const choice = fleet.choose(
			{
				service: 's',
				model: 'm',
				adapter,
				session: undefined,
				tokens: 1,
				promptTokens: 650,
				maxPromptWaitMs: Number.POSITIVE_INFINITY,
				tried: new Set(),
			},
			0,
		);
		assert.equal(choice.kind, 'awaitAdapter', adapterKey('m', adapter));
	};
}
