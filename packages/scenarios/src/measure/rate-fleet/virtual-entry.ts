import {
	EvenShares,
	RateCore,
	ShardLeases,
	type LeaseCommand,
	type LeaseEvent,
	type LeaseTimes,
	type RateCommand,
	type RateDecider,
	type RateEvent,
	type RateHolder,
} from '@balsamtray/core';
import type {VirtualTime} from './virtual-time.js';

/** How a fleet divides customers' rates. */
export type RatePolicy =
	| {
			readonly kind: 'shards';
			readonly shardsPerCustomer: number;
			readonly times: LeaseTimes;
	  }
	| {readonly kind: 'evenShares'; readonly entryCount: number};

/** What an entry process needs from the world around it. */
export type EntryWorld = {
	readonly time: VirtualTime;
	carryOutRate(entry: VirtualEntry, command: RateCommand): void;
	carryOutLease(entry: VirtualEntry, command: LeaseCommand): void;
};

/** What an entry process starts with. */
export type VirtualEntryOptions = {
	readonly self: RateHolder;
	readonly incarnation: string;
	readonly policy: RatePolicy;
	readonly world: EntryWorld;
	/** Whether the fleet starts with it. */
	readonly isFirstStart: boolean;
};

/** One entry process in virtual time. A restart is a new instance. */
export class VirtualEntry {
	static create(options: VirtualEntryOptions): VirtualEntry {
		return new VirtualEntry(options);
	}

	isAlive = true;
	readonly self: RateHolder;
	readonly incarnation: string;
	readonly leases: ShardLeases | undefined;
	private readonly _world: EntryWorld;
	private readonly _core: RateDecider;
	private readonly _rateCore: RateCore | undefined;
	private readonly _waiting: Array<() => void> = [];
	private _isPaused = false;
	/** Virtual time that this process's monotonic clock did not count. */
	private _missedMs = 0;

	private constructor(options: VirtualEntryOptions) {
		const {self, incarnation, policy, world, isFirstStart} = options;
		this.self = self;
		this.incarnation = incarnation;
		this._world = world;
		if (policy.kind === 'evenShares') {
			const {entryCount} = policy;
			this._core = EvenShares.create({entryCount, isFirstStart});
			return;
		}

		const {shardsPerCustomer, times} = policy;
		this._rateCore = RateCore.create({self, incarnation, shardsPerCustomer});
		this._core = this._rateCore;
		const peerAddress = self.id;
		this.leases = ShardLeases.create({self, incarnation, peerAddress, times});
	}

	get isPaused(): boolean {
		return this._isPaused;
	}

	/** The process's monotonic clock. */
	get now(): number {
		return this._world.time.now - this._missedMs;
	}

	/** Runs the work now, or when the process runs again. */
	whenRunning(work: () => void): void {
		if (!this.isAlive) {
			return;
		}

		if (this._isPaused) {
			this._waiting.push(work);
			return;
		}

		work();
	}

	handleRate(event: RateEvent): void {
		this.whenRunning(() => {
			if (event.type === 'transferRequested') {
				this.handleLease({type: 'peerSeen', peer: event.peer});
			}

			for (const command of this._core.handle(event, this.now)) {
				this._world.carryOutRate(this, command);
			}
		});
	}

	handleLease(event: LeaseEvent): void {
		this.whenRunning(() => {
			for (const command of this.leases?.handle(event, this.now) ?? []) {
				this._world.carryOutLease(this, command);
			}
		});
	}

	pause(): void {
		this._isPaused = true;
	}

	/** Runs again. The monotonic clock either counted the pause or stood still, which the wall clock shows. */
	resume(pausedMs: number, isClockFrozen: boolean): void {
		this._isPaused = false;
		if (isClockFrozen) {
			this._missedMs += pausedMs;
			this.handleLease({type: 'clockJumped', byMs: pausedMs});
		}

		for (const work of this._waiting.splice(0)) {
			this.whenRunning(work);
		}
	}

	/** Gives a shard up for the next holder. */
	release(shard: string): void {
		this.whenRunning(() => {
			const levels = this._rateCore?.levelsOf(shard, this.now);
			this.handleLease({
				type: 'releaseRequested',
				shard,
				...(levels === undefined ? {} : {levels}),
			});
		});
	}

	releaseAll(): void {
		this.leases?.close();
		for (const shard of this.leases?.heldShards ?? []) {
			this.release(shard);
		}
	}
}
