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
	worstExcess,
	type Excess,
	type LimitInForce,
	type Spend,
} from './window-check.js';

const customer = 'lakeshore';
const scheduleMs = 20_000;
const requestCount = 120;
const faultCount = 6;

/** Short leases, so that a schedule of seconds sees them lapse. */
export const shortTimes: LeaseTimes = {
	leaseMs: 5000,
	renewalMs: 1500,
	pollMsPerShard: 200,
};

/** What one schedule showed. */
export type ScheduleResult = {
	readonly reserved: number;
	readonly refused: number;
	/** Refusals of requests that one global token bucket would have let through. */
	readonly refusedInsideRate: number;
	readonly excess: Excess | undefined;
};

/** Which faults a schedule draws from. */
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

/** One random schedule of requests and faults on a small fleet, held against one global token bucket. */
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
	private readonly _asked = new Map<
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
		const entries = entriesOf(2 + this._pick(3));
		this._entryIds = entries.map(entry => entry.id);
		const tokensPerSecond = 100 + this._pick(2000);
		const burstTokens = 200 + this._pick(4000);
		this._limits = [{from: 0, tokensPerSecond, burstTokens}];
		this._fleet = RateFleet.create({
			seed: seed + 1,
			entries,
			shards: shardsOf(3 + this._pick(3)),
			limits: [{customer, tokensPerSecond, burstTokens}],
			policy,
		});
		this._fleet.onSettled(settled => {
			this._settle(settled.requestId, settled.isReserved);
		});
	}

	run(): ScheduleResult {
		this._planRequests();
		for (let i = 0; i < faultCount && this._faults.length > 0; i++) {
			this._planFault();
		}

		this._fleet.time.runUntil(scheduleMs);
		return {
			reserved: this._reserved,
			refused: this._refused,
			refusedInsideRate: this._refusedInsideRate,
			excess: worstExcess(this._spends, this._limits),
		};
	}

	private get _limit(): LimitInForce {
		return this._limits.at(-1) ?? {from: 0, tokensPerSecond: 0, burstTokens: 0};
	}

	private _planRequests(): void {
		const {time} = this._fleet;
		for (let i = 0; i < requestCount; i++) {
			const isInBurst = this._random() < 0.4;
			const at = isInBurst
				? 4000 * (1 + this._pick(4)) + this._random() * 20
				: 100 + this._random() * (scheduleMs - 200);
			time.at(at, () => {
				this._request(`r${i}`);
			});
		}
	}

	private _request(requestId: string): void {
		const entry = this._anyEntry();
		if (this._fleet.entry(entry)?.isAlive !== true) {
			return;
		}

		const share = this._random() < 0.2 ? this._random() : this._random() * 0.1;
		const tokens = Math.max(1, Math.floor(share * this._limit.burstTokens));
		this._asked.set(requestId, {tokens, entry});
		this._fleet.reserve(entry, requestId, customer, tokens);
	}

	private _settle(requestId: string, isReserved: boolean): void {
		const asked = this._asked.get(requestId);
		if (asked === undefined) {
			return;
		}

		const {now} = this._fleet.time;
		if (!isReserved) {
			this._refused++;
			this._refusedInsideRate += isInsideRate(
				this._spends,
				this._limit,
				asked.tokens,
				now,
			)
				? 1
				: 0;
			return;
		}

		this._reserved++;
		const spend: Spend = {at: now, tokens: asked.tokens};
		this._spends.push(spend);
		if (this._random() < 0.6) {
			this._planReturn(requestId, asked.entry, spend);
		}
	}

	private _planReturn(requestId: string, entry: string, spend: Spend): void {
		const unused = Math.floor(this._random() * spend.tokens);
		this._fleet.time.after(this._random() * 6000, () => {
			spend.tokens -= unused;
			this._fleet.giveBack(entry, requestId, unused);
		});
	}

	private _planFault(): void {
		const fault = this._faults[this._pick(this._faults.length)];
		const at = this._random() * scheduleMs * 0.8;
		const forMs = 200 + this._random() * 8000;
		this._fleet.time.at(at, () => {
			this._cause(fault, forMs);
		});
	}

	private _cause(fault: ScheduleFault | undefined, forMs: number): void {
		const fleet = this._fleet;
		const id = this._anyEntry();
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
				fleet.table.loseAnswerShare = 0.5;
				time.after(forMs, () => {
					fleet.table.loseAnswerShare = 0;
				});
				break;
			}

			case 'cut': {
				const other = this._anyEntry();
				fleet.cut(id, other, true);
				time.after(forMs, () => {
					fleet.cut(id, other, false);
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
				fleet.listHosts(this._entryIds.filter(() => this._random() < 0.7));
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

	private _anyEntry(): string {
		return this._entryIds[this._pick(this._entryIds.length)] ?? '';
	}

	private _pick(count: number): number {
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
