import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createRandom,
	leaseMs,
	leaseRenewalMs,
	shardPollMsPerShard,
	shardsPerCustomer,
} from '@balsamtray/core';
import {RateFleet, type ReservationResult} from './rate-fleet.js';

const customer = 'lakeshore';
const tokens = 100;
const requestCount = 40;
const schedules = 200;

const entries = ['entry-1', 'entry-2'].map(id => ({
	id,
	zone: id,
	region: 'great-lakes',
}));
const shards = ['a', 'b', 'c'].map(id => ({id, region: 'great-lakes'}));

/** Starts two entries, to one of which a shard moves then. Its rate is far above what the requests of a test take. */
function createFleet(seed: number): RateFleet {
	return RateFleet.create({
		seed,
		entries,
		shards,
		limits: [{customer, tokensPerSecond: 1_000_000, burstTokens: 5_000_000}],
		policy: {
			kind: 'shards',
			shardsPerCustomer,
			times: {
				leaseMs,
				renewalMs: leaseRenewalMs,
				pollMsPerShard: shardPollMsPerShard,
			},
		},
	});
}

/** Sends requests to both entries at once, and returns those that were refused. */
function refusedAt(fleet: RateFleet, at: number): readonly ReservationResult[] {
	const settled: ReservationResult[] = [];
	fleet.onSettled(result => {
		settled.push(result);
	});
	for (let i = 0; i < requestCount; i++) {
		fleet.time.at(at, () => {
			const {id} = entries[i % entries.length]!;
			fleet.reserve(id, `r${i}`, customer, tokens);
		});
	}

	fleet.time.runUntil(at + 5000);
	assert.equal(settled.length, requestCount);
	return settled.filter(({isReserved}) => !isReserved);
}

describe('entries that have just started', () => {
	// Guards against a 429 for a caller inside its rate, since the holder of its tokens took long to answer.
	it('refuse no request inside the rate while the other entry stands still for a moment', () => {
		for (let seed = 0; seed < schedules; seed++) {
			const random = createRandom(seed);
			const fleet = createFleet(seed);
			const at = 100 + 4000 * random();
			const stopped = entries[Math.floor(2 * random())]!;
			const stopMs = 200 + 400 * random();
			fleet.time.at(at, () => {
				fleet.pause(stopped.id, stopMs, false);
			});
			assert.deepEqual(refusedAt(fleet, at + 1), [], `seed ${seed}`);
		}
	});

	// Guards against a 429 for a caller inside its rate, since the entry had not read yet who holds its tokens.
	it('refuse no request inside the rate before they know who holds the shards', () => {
		for (let seed = 0; seed < schedules; seed++) {
			const fleet = createFleet(seed);
			const at = 20 * createRandom(seed)();
			assert.deepEqual(refusedAt(fleet, at), [], `seed ${seed}`);
		}
	});
});
