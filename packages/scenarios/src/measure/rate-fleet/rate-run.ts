import {
	createRandom,
	leaseMs,
	leaseRenewalMs,
	shardPollMsPerShard,
	shardsPerCustomer,
	type Random,
	type RateHolder,
	type RateLimit,
} from '@balsamtray/core';
import {RateFleet} from './rate-fleet.js';
import type {RatePolicy} from './virtual-entry.js';
import {isInsideRate, type LimitInForce, type Spend} from './window-check.js';

/**
 * How a customer's rate is divided among the entries: by leased shards, in even static shares,
 * or with all tokens on one entry.
 */
export type RatePolicyName = 'ours' | 'evenShares' | 'oneOwner';

/** Traffic pattern or fault of a run. */
export type RateExperiment =
	| 'steady'
	| 'movingPopularity'
	| 'overload'
	| 'entryKilled'
	| 'rollingRestart'
	| 'storeDown';

/** Figures of one run. */
export type RateFigures = {
	readonly requests: number;
	readonly refused: number;
	/** Refusals of requests that one global token bucket would have admitted. */
	readonly refusedInsideRate: number;
	readonly refusedInsidePer10000: number;
	/** Maximum number of tokens spent beyond rate and burst in any window. Must be 0. */
	readonly tokensOver: number;
	readonly messagesPerSecondAndEntry: number;
	readonly storeReadsPerSecond: number;
	readonly storeWritesPerSecond: number;
};

const runMs = 10 * 60 * 1000;
/** Time for the entries to acquire leases before the first request, in milliseconds. */
const warmUpMs = 5000;
/** Interval at which a customer moves to the next entry with moving popularity, in milliseconds. */
const popularityPeriodMs = 20 * 1000;
const faultAtMs = 2 * 60 * 1000;
const faultDurationMs = 5 * 60 * 1000;
const killDowntimeMs = 60 * 1000;
const restartIntervalMs = 30 * 1000;
const restartDowntimeMs = 3000;
const entryCount = 3;
/** Mean token demand of a customer relative to its rate, and that of the overloading customer. */
const demandShare = 0.6;
const overloadShare = 3;
const meanReservedTokens = 1150;
/** Mean share of the reserved tokens that an answer uses. The rest is returned. */
const meanUsedShare = 0.6;

const limits: readonly RateLimit[] = [
	{customer: 'lakeshore', tokensPerSecond: 20_000, burstTokens: 60_000},
	{customer: 'prairie', tokensPerSecond: 12_000, burstTokens: 40_000},
	{customer: 'township', tokensPerSecond: 2000, burstTokens: 12_000},
	{customer: 'school', tokensPerSecond: 1000, burstTokens: 10_000},
	{customer: 'depot', tokensPerSecond: 500, burstTokens: 8000},
];

const policies: Readonly<Record<RatePolicyName, RatePolicy>> = {
	ours: {
		kind: 'shards',
		shardsPerCustomer,
		times: {
			leaseMs,
			renewalMs: leaseRenewalMs,
			pollMsPerShard: shardPollMsPerShard,
		},
	},
	evenShares: {kind: 'evenShares', entryCount},
	oneOwner: {
		kind: 'shards',
		shardsPerCustomer: 1,
		times: {leaseMs: 10_000, renewalMs: 3000, pollMsPerShard: 300},
	},
};

type CustomerState = {
	readonly limit: LimitInForce & RateLimit;
	readonly spends: Spend[];
};

/** Runs one rate limiting experiment in virtual time, with three entries and five customers. */
export class RateRun {
	static create(
		experiment: RateExperiment,
		policy: RatePolicyName,
		seed: number,
	): RateRun {
		return new RateRun(experiment, policy, seed);
	}

	private readonly _random: Random;
	private readonly _fleet: RateFleet;
	private readonly _experiment: RateExperiment;
	private readonly _entryIds: readonly string[];
	private readonly _customers = new Map<string, CustomerState>();
	private readonly _pendingReservations = new Map<
		string,
		{
			readonly customer: string;
			readonly tokens: number;
			readonly entry: string;
		}
	>();

	private _requests = 0;
	private _refused = 0;
	private _refusedInsideRate = 0;

	private constructor(
		experiment: RateExperiment,
		policy: RatePolicyName,
		seed: number,
	) {
		this._experiment = experiment;
		this._random = createRandom(seed);
		const entries = createEntries();
		this._entryIds = entries.map(entry => entry.id);
		this._fleet = RateFleet.create({
			seed: seed + 1_000_000,
			entries,
			shards: this._entryIds.map((_, i) => ({
				id: `shard-${i}`,
				region: 'great-lakes',
			})),
			limits,
			policy: policies[policy],
		});
		for (const limit of limits) {
			this._customers.set(limit.customer, {
				limit: {...limit, from: 0},
				spends: [],
			});
		}

		this._fleet.onSettled(settled => {
			this._settle(settled.requestId, settled.isReserved);
		});
	}

	run(): RateFigures {
		const {time, table} = this._fleet;
		time.runUntil(warmUpMs);
		for (const {customer} of limits) {
			this._scheduleNext(customer);
		}

		this._scheduleFaults();
		time.runUntil(warmUpMs + runMs);
		const seconds = (warmUpMs + runMs) / 1000;
		return {
			requests: this._requests,
			refused: this._refused,
			refusedInsideRate: this._refusedInsideRate,
			refusedInsidePer10000:
				(10_000 * this._refusedInsideRate) / Math.max(1, this._requests),
			tokensOver: this._tokensOver(),
			messagesPerSecondAndEntry: this._fleet.messages / seconds / entryCount,
			storeReadsPerSecond: table.reads / seconds,
			storeWritesPerSecond: table.writes / seconds,
		};
	}

	/** Schedules the next request of a customer. Arrivals are a Poisson process. */
	private _scheduleNext(customer: string): void {
		const limit = this._customers.get(customer)?.limit;
		const rate = limit?.tokensPerSecond ?? 1;
		const isOverloaded =
			this._experiment === 'overload' && customer === 'lakeshore';
		const share = isOverloaded ? overloadShare : demandShare;
		const meanUsed = meanReservedTokens * meanUsedShare;
		const meanGapMs = (1000 * meanUsed) / (rate * share);
		const gapMs = -Math.log(1 - this._random()) * meanGapMs;
		this._fleet.time.after(gapMs, () => {
			this._request(customer);
			this._scheduleNext(customer);
		});
	}

	private _request(customer: string): void {
		const entry = this._chooseEntry(customer);
		if (entry === undefined) {
			return;
		}

		const requestId = `r${this._requests++}`;
		const promptTokens = 100 + this._random() * 1100;
		const maxAnswerTokens = 250 + this._random() * 500;
		const tokens = Math.ceil(promptTokens + maxAnswerTokens);
		this._pendingReservations.set(requestId, {customer, tokens, entry});
		this._fleet.reserve(entry, requestId, customer, tokens);
	}

	/** Returns a random running entry, or with moving popularity the one that the customer currently uses. */
	private _chooseEntry(customer: string): string | undefined {
		const running = this._entryIds.filter(id => this._fleet.isRunning(id));
		if (this._experiment === 'movingPopularity') {
			const turn = Math.floor(this._fleet.time.now / popularityPeriodMs);
			return running[(turn + customer.length) % running.length];
		}

		return running[Math.floor(this._random() * running.length)];
	}

	private _settle(requestId: string, isReserved: boolean): void {
		const reservation = this._pendingReservations.get(requestId);
		const state = this._customers.get(reservation?.customer ?? '');
		if (reservation === undefined || state === undefined) {
			return;
		}

		this._pendingReservations.delete(requestId);
		const {now} = this._fleet.time;
		if (!isReserved) {
			this._refused++;
			const {spends, limit} = state;
			this._refusedInsideRate += isInsideRate(
				spends,
				limit,
				reservation.tokens,
				now,
			)
				? 1
				: 0;
			return;
		}

		const spend: Spend = {at: now, tokens: reservation.tokens};
		state.spends.push(spend);
		this._scheduleReturn(requestId, reservation.entry, spend);
	}

	private _scheduleReturn(
		requestId: string,
		entry: string,
		spend: Spend,
	): void {
		const usedShare =
			2 * meanUsedShare - 1 + this._random() * (2 - 2 * meanUsedShare);
		const unused = Math.floor(spend.tokens * (1 - usedShare));
		this._fleet.time.after(1000 + this._random() * 7000, () => {
			spend.tokens -= unused;
			this._fleet.returnTokens(entry, requestId, unused);
		});
	}

	private _scheduleFaults(): void {
		const {time, table} = this._fleet;
		if (this._experiment === 'storeDown') {
			time.at(faultAtMs, () => {
				table.isDown = true;
			});
			time.at(faultAtMs + faultDurationMs, () => {
				table.isDown = false;
			});
		}

		if (this._experiment === 'entryKilled') {
			time.at(faultAtMs, () => {
				this._fleet.kill('entry-0', false);
			});
			time.at(faultAtMs + killDowntimeMs, () => {
				this._fleet.restart('entry-0');
			});
		}

		if (this._experiment === 'rollingRestart') {
			for (const [i, id] of this._entryIds.entries()) {
				this._scheduleRestart(id, faultAtMs + i * restartIntervalMs);
			}
		}
	}

	private _scheduleRestart(id: string, at: number): void {
		const {time} = this._fleet;
		time.at(at, () => {
			this._fleet.stopGracefully(id);
		});
		time.at(at + restartDowntimeMs, () => {
			this._fleet.restart(id);
		});
	}

	/**
	 * Returns the largest excess of any window, in tokens. Computes it in one pass, as the level of a leaky bucket that drains
	 * at the rate, minus the burst.
	 */
	private _tokensOver(): number {
		let worst = 0;
		for (const {limit, spends} of this._customers.values()) {
			let level = 0;
			let at = 0;
			for (const spend of spends) {
				const drained = (limit.tokensPerSecond * (spend.at - at)) / 1000;
				level = Math.max(0, level - drained) + spend.tokens;
				at = spend.at;
				worst = Math.max(worst, level - limit.burstTokens);
			}
		}

		return Math.max(0, Math.round(worst * 1000) / 1000);
	}
}

function createEntries(): readonly RateHolder[] {
	return Array.from({length: entryCount}, (_, i) => ({
		id: `entry-${i}`,
		zone: `zone-${i}`,
		region: 'great-lakes',
	}));
}
