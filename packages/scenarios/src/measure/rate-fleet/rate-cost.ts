import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
	ClaimCore,
	leaseMs,
	leaseRenewalMs,
	RateCore,
	shardPollMsPerShard,
	shardsPerCustomer,
	type RateLimit,
} from '@balsamtray/core';
import {RateFleet} from './rate-fleet.js';

/** Sizes of the measurement. */
export type RateCostOptions = {
	readonly customers: number;
	readonly reservations: number;
	readonly fleetSizes: readonly number[];
	/** Virtual time over which the load of the store is counted, in seconds. */
	readonly storeSeconds: number;
};

/** Load that the shard leases of an idle fleet put on the store. */
export type LeaseLoad = {
	readonly entries: number;
	readonly rowReadingsPerSecond: number;
	readonly writesPerSecond: number;
};

/** Memory and processing times of rate limiting and idempotency claims on one entry, and the load of the store. */
export type RateCost = {
	readonly bytesPerCustomer: number;
	readonly bytesPerBucket: number;
	readonly bytesPerOpenReservation: number;
	readonly microsecondsPerReserve: number;
	readonly microsecondsPerReturn: number;
	readonly microsecondsPerTransferServed: number;
	readonly microsecondsPerClaim: number;
	readonly bytesPerOpenClaim: number;
	readonly claimsPerTransaction: number;
	readonly leaseLoads: readonly LeaseLoad[];
};

const defaults: RateCostOptions = {
	customers: 5000,
	reservations: 8000,
	fleetSizes: [3, 30, 100],
	storeSeconds: 600,
};

const self = {id: 'entry-0', zone: 'zone-0', region: 'region-0'};
const microsecondsInMs = 1000;
const tokensPerRequest = 1000;
const claimsPerTick = 100;

/** Interval of ticks, in milliseconds. Leases alone need no shorter one. */
const leaseTickMs = 1000;

/** Measures rate limiting and claims on this machine. Times differ between runs, counts don't. */
export function measureRateCost(
	options: Partial<RateCostOptions> = {},
): RateCost {
	const resolvedOptions = {...defaults, ...options};
	return {
		...measureState(resolvedOptions),
		...measureReservations(resolvedOptions),
		...measureClaims(resolvedOptions),
		leaseLoads: resolvedOptions.fleetSizes.map(size =>
			measureLeases(size, resolvedOptions.storeSeconds),
		),
	};
}

function measureState({customers}: RateCostOptions) {
	const limits = createLimits(customers);
	const before = heapBytes();
	const core = createCore(limits);
	const withLimits = heapBytes();
	for (const {customer} of limits) {
		core.handle(
			{
				type: 'transferRequested',
				peer: 'entry-1',
				transferId: customer,
				customer,
				tokens: 0,
			},
			1,
		);
	}

	const withBuckets = heapBytes();
	return {
		bytesPerCustomer: Math.round((withLimits - before) / customers),
		bytesPerBucket: Math.round((withBuckets - withLimits) / core.bucketCount),
	};
}

function measureReservations({reservations}: RateCostOptions) {
	const core = createCore(createLimits(1));
	const before = heapBytes();
	const reserveMs = timeOf(reservations, i => {
		core.handle(
			{
				type: 'reserveRequested',
				requestId: `r${i}`,
				customer: 'customer-0',
				tokens: tokensPerRequest,
				maxWaitMs: 400,
			},
			i,
		);
	});
	const bytes = heapBytes() - before;
	const returnMs = timeOf(reservations, i => {
		const requestId = `r${i}`;
		core.handle(
			{type: 'tokensReturned', requestId, tokens: 1},
			reservations + i,
		);
	});
	const serveMs = timeOf(reservations, i => {
		core.handle(
			{
				type: 'transferRequested',
				peer: 'entry-1',
				transferId: `t${i}`,
				customer: 'customer-0',
				tokens: tokensPerRequest,
			},
			2 * reservations + i,
		);
	});
	const microseconds = (ms: number) => (microsecondsInMs * ms) / reservations;
	return {
		bytesPerOpenReservation: Math.round(bytes / reservations),
		microsecondsPerReserve: microseconds(reserveMs),
		microsecondsPerReturn: microseconds(returnMs),
		microsecondsPerTransferServed: microseconds(serveMs),
	};
}

function measureClaims({reservations}: RateCostOptions) {
	const core = ClaimCore.create('entry-0');
	const before = heapBytes();
	let transactions = 0;
	const claimMs = timeOf(reservations, i => {
		core.handle(
			{
				type: 'claimRequested',
				claimId: `c${i}`,
				key: `customer/${i}`,
				bodyDigest: 'digest',
			},
			i,
		);
		if (i % claimsPerTick !== claimsPerTick - 1) {
			return;
		}

		for (const command of core.handle({type: 'tick'}, i)) {
			if (command.type === 'writeBatch') {
				const {batchId, writes} = command;
				const versions = writes.map((_, n) => i + n);
				transactions++;
				core.handle(
					{
						type: 'batchSettled',
						batchId,
						result: {kind: 'committed', versions},
					},
					i,
				);
			}
		}
	});
	return {
		microsecondsPerClaim: (microsecondsInMs * claimMs) / reservations,
		bytesPerOpenClaim: Math.round((heapBytes() - before) / core.size),
		claimsPerTransaction: reservations / transactions,
	};
}

/** Counts the reads and writes of the store by an idle fleet after all shards have been acquired. */
function measureLeases(entries: number, seconds: number): LeaseLoad {
	const hosts = Array.from({length: entries}, (_, i) => ({
		id: `entry-${i}`,
		zone: `zone-${i % 15}`,
		region: `region-${i % 7}`,
	}));
	const fleet = RateFleet.create({
		seed: 1,
		entries: hosts,
		shards: hosts.map(({region}, i) => ({id: `shard-${i}`, region})),
		limits: [],
		tickMs: leaseTickMs,
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
	const settledMs = 60 * 1000;
	fleet.time.runUntil(settledMs);
	const {reads, writes} = fleet.table;
	fleet.time.runUntil(settledMs + seconds * 1000);
	return {
		entries,
		rowReadingsPerSecond: (fleet.table.reads - reads) / seconds,
		writesPerSecond: (fleet.table.writes - writes) / seconds,
	};
}

function createLimits(count: number): readonly RateLimit[] {
	return Array.from({length: count}, (_, i) => ({
		customer: `customer-${i}`,
		tokensPerSecond: 1_000_000,
		burstTokens: 100_000_000,
	}));
}

/** Creates the rate limiter of an entry that holds the leases of all shards. */
function createCore(limits: readonly RateLimit[]): RateCore {
	const core = RateCore.create({self, incarnation: 'i'});
	const shards = ['a', 'b', 'c'].map(id => ({id, region: self.region}));
	core.handle({type: 'shardsLearned', shards}, 0);
	core.handle({type: 'limitsChanged', limits}, 0);
	for (const {id} of shards) {
		core.handle(
			{
				type: 'leaseGranted',
				shard: id,
				epoch: 1,
				validUntil: leaseMs,
				start: {kind: 'full'},
			},
			0,
		);
	}

	return core;
}

function timeOf(count: number, run: (i: number) => void): number {
	const start = performance.now();
	for (let i = 0; i < count; i++) {
		run(i);
	}

	return performance.now() - start;
}

function heapBytes(): number {
	setFlagsFromString('--expose-gc');
	runInNewContext('gc()');
	return process.memoryUsage().heapUsed;
}
