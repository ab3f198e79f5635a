import {
	createRandom,
	type LeaseTimes,
	type Random,
	type RateHolder,
} from '@balsamtray/core';
import {RateFleet} from './rate-fleet.js';
import type {RatePolicy} from './virtual-entry.js';
import {
	isInsideRate,
	findLargestExcess,
	type Excess,
	type LimitInForce,
	type Spend,
} from './window-check.js';

const customer = 'lakeshore';
const scheduleMs = 20_000;
const requestCount = 120;
const faultCount = 6;

/** Lease times short enough that leases expire within a schedule of 20 seconds. */
export const shortLeaseTimes: LeaseTimes = {
	leaseMs: 5000,
	renewalMs: 1500,
	pollMsPerShard: 200,
};

/** Figures of one schedule. */
export type ScheduleResult = {
	readonly reserved: number;
	readonly refused: number;
	/** Refusals of requests that one global token bucket would have admitted. */
	readonly refusedInsideRate: number;
	readonly excess: Excess | undefined;
};

/**
 * Fault that a schedule may inject. `silentKill` makes connections time out instead of being refused;
 * `freeze` is a pause during which the monotonic clock stops; `cut` partitions two entries;
 * `hostList` drops entries from the host list.
 */
export type ScheduleFault =
	| 'kill'
	| 'silentKill'
	| 'stop'
	| 'pause'
	| 'freeze'
	| 'storeDown'
	| 'lostAnswers'
	| 'cut'
	| 'lossyNetwork'
	| 'limitChange'
	| 'hostList';

/** All kinds of faults. */
export const allFaults: readonly ScheduleFault[] = [
	'kill',
	'silentKill',
	'stop',
	'pause',
	'freeze',
	'storeDown',
	'lostAnswers',
	'cut',
	'lossyNetwork',
	'limitChange',
	'hostList',
];

/** Runs a random schedule of requests and faults on a small fleet and compares it with one global token bucket. */
export class RateSchedule {
	static create(
		seed: number,
		faults: readonly ScheduleFault[],
		policy: RatePolicy,
	): RateSchedule {
		return new RateSchedule(seed, faults, policy);
	}

	private readonly _random: Random;
	private readonly _fleet: RateFleet;
	private readonly _faults: readonly ScheduleFault[];
	private readonly _entryIds: readonly string[];
	private readonly _spends: Spend[] = [];
	private readonly _limits: LimitInForce[];
	private readonly _pendingReservations = new Map<
		string,
		{readonly tokens: number; readonly entry: string}
	>();

	private _reserved = 0;
	private _refused = 0;
	private _refusedInsideRate = 0;

	private constructor(
		seed: number,
		faults: readonly ScheduleFault[],
		policy: RatePolicy,
	) {
		this._random = createRandom(seed);
		this._faults = faults;
		const entries = entriesOf(2 + this._randomInteger(3));
		this._entryIds = entries.map(entry => entry.id);
		const tokensPerSecond = 100 + this._randomInteger(2000);
		const burstTokens = 200 + this._randomInteger(4000);
		this._limits = [{from: 0, tokensPerSecond, burstTokens}];
		this._fleet = RateFleet.create({
			seed: seed + 1,
			entries,
			shards: shardsOf(3 + this._randomInteger(3)),
			limits: [{customer, tokensPerSecond, burstTokens}],
			policy,
		});
		this._fleet.onSettled(settled => {
			this._settle(settled.requestId, settled.isReserved);
		});
	}

	run(): ScheduleResult {
		this._scheduleRequests();
		for (let i = 0; i < faultCount && this._faults.length > 0; i++) {
			this._scheduleFault();
		}

		this._fleet.time.runUntil(scheduleMs);
		return {
			reserved: this._reserved,
			refused: this._refused,
			refusedInsideRate: this._refusedInsideRate,
			excess: findLargestExcess(this._spends, this._limits),
		};
	}

	private get _limit(): LimitInForce {
		return this._limits.at(-1) ?? {from: 0, tokensPerSecond: 0, burstTokens: 0};
	}

	private _scheduleRequests(): void {
		const {time} = this._fleet;
		for (let i = 0; i < requestCount; i++) {
			const isInBurst = this._random() < 0.4;
			const at = isInBurst
				? 4000 * (1 + this._randomInteger(4)) + this._random() * 20
				: 100 + this._random() * (scheduleMs - 200);
			time.at(at, () => {
				this._request(`r${i}`);
			});
		}
	}

	private _request(requestId: string): void {
		const entry = this._randomEntry();
		if (this._fleet.entry(entry)?.isAlive !== true) {
			return;
		}

		const share = this._random() < 0.2 ? this._random() : this._random() * 0.1;
		const tokens = Math.max(1, Math.floor(share * this._limit.burstTokens));
		this._pendingReservations.set(requestId, {tokens, entry});
		this._fleet.reserve(entry, requestId, customer, tokens);
	}

	private _settle(requestId: string, isReserved: boolean): void {
		const reservation = this._pendingReservations.get(requestId);
		if (reservation === undefined) {
			return;
		}

		const {now} = this._fleet.time;
		if (!isReserved) {
			this._refused++;
			this._refusedInsideRate += isInsideRate(
				this._spends,
				this._limit,
				reservation.tokens,
				now,
			)
				? 1
				: 0;
			return;
		}

		this._reserved++;
		const spend: Spend = {at: now, tokens: reservation.tokens};
		this._spends.push(spend);
		if (this._random() < 0.6) {
			this._scheduleReturn(requestId, reservation.entry, spend);
		}
	}

	private _scheduleReturn(
		requestId: string,
		entry: string,
		spend: Spend,
	): void {
		const unused = Math.floor(this._random() * spend.tokens);
		this._fleet.time.after(this._random() * 6000, () => {
			spend.tokens -= unused;
			this._fleet.returnTokens(entry, requestId, unused);
		});
	}

	private _scheduleFault(): void {
		const fault = this._faults[this._randomInteger(this._faults.length)];
		const at = this._random() * scheduleMs * 0.8;
		const forMs = 200 + this._random() * 8000;
		this._fleet.time.at(at, () => {
			this._injectFault(fault, forMs);
		});
	}

	private _injectFault(fault: ScheduleFault | undefined, forMs: number): void {
		const fleet = this._fleet;
		const id = this._randomEntry();
		const {time} = fleet;
		switch (fault) {
			case 'kill':
			case 'silentKill': {
				fleet.kill(id, fault === 'silentKill');
				time.after(forMs, () => {
					fleet.restart(id);
				});
				break;
			}

			case 'stop': {
				fleet.stopGracefully(id);
				time.after(forMs, () => {
					fleet.restart(id);
				});
				break;
			}

			case 'pause':
			case 'freeze': {
				fleet.pause(id, forMs, fault === 'freeze');
				break;
			}

			case 'storeDown': {
				fleet.table.isDown = true;
				time.after(forMs, () => {
					fleet.table.isDown = false;
				});
				break;
			}

			case 'lostAnswers': {
				fleet.table.lostResponseShare = 0.5;
				time.after(forMs, () => {
					fleet.table.lostResponseShare = 0;
				});
				break;
			}

			case 'cut': {
				const other = this._randomEntry();
				fleet.setPartitioned(id, other, true);
				time.after(forMs, () => {
					fleet.setPartitioned(id, other, false);
				});
				break;
			}

			case 'lossyNetwork': {
				this._makeLossy(forMs);
				break;
			}

			case 'limitChange': {
				this._changeLimit();
				break;
			}

			case 'hostList': {
				fleet.publishHosts(this._entryIds.filter(() => this._random() < 0.7));
				break;
			}

			case undefined: {
				break;
			}
		}
	}

	private _makeLossy(forMs: number): void {
		const {faults, time} = this._fleet;
		faults.lossShare = 0.2;
		faults.duplicateShare = 0.3;
		faults.lateShare = 0.3;
		time.after(forMs, () => {
			faults.lossShare = 0;
			faults.duplicateShare = 0;
			faults.lateShare = 0;
		});
	}

	private _changeLimit(): void {
		if (this._fleet.table.isDown) {
			return;
		}

		const {burstTokens, tokensPerSecond} = this._limit;
		const changed = {
			from: this._fleet.time.now,
			tokensPerSecond: Math.ceil(tokensPerSecond * (0.2 + 2 * this._random())),
			burstTokens: Math.ceil(burstTokens * (0.2 + 2 * this._random())),
		};
		this._limits.push(changed);
		this._fleet.changeLimit({customer, ...changed}, 3500);
	}

	private _randomEntry(): string {
		return this._entryIds[this._randomInteger(this._entryIds.length)] ?? '';
	}

	private _randomInteger(count: number): number {
		return Math.floor(this._random() * count);
	}
}

function entriesOf(count: number): readonly RateHolder[] {
	return Array.from({length: count}, (_, i) => ({
		id: `entry-${i}`,
		zone: `zone-${i % 3}`,
		region: 'great-lakes',
	}));
}

function shardsOf(count: number) {
	return Array.from({length: count}, (_, i) => ({
		id: `shard-${i}`,
		region: 'great-lakes',
	}));
}
