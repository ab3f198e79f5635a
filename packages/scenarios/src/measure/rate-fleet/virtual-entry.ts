import {
	EvenShares,
	RateCore,
	ShardLeases,
	type LeaseCommand,
	type LeaseEvent,
	type LeaseTimes,
	type RateCommand,
	type RateLimiter,
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

/** Services that a simulated entry process needs from the simulation. */
export type EntryEnvironment = {
	readonly time: VirtualTime;
	executeRateCommand(entry: VirtualEntry, command: RateCommand): void;
	executeLeaseCommand(entry: VirtualEntry, command: LeaseCommand): void;
};

/** Options of a simulated entry process. */
export type VirtualEntryOptions = {
	readonly self: RateHolder;
	readonly incarnation: string;
	readonly policy: RatePolicy;
	readonly environment: EntryEnvironment;
	/** Whether this is the entry's first start in the fleet. */
	readonly isFirstStart: boolean;
};

/** One simulated entry process. A restart creates a new instance. */
export class VirtualEntry {
	static create(options: VirtualEntryOptions): VirtualEntry {
		return new VirtualEntry(options);
	}

	isAlive = true;
	readonly self: RateHolder;
	readonly incarnation: string;
	readonly leases: ShardLeases | undefined;
	private readonly _environment: EntryEnvironment;
	private readonly _core: RateLimiter;
	private readonly _rateCore: RateCore | undefined;
	private readonly _deferred: Array<() => void> = [];
	private _isPaused = false;
	/** Virtual time during which the process's monotonic clock was stopped, in milliseconds. */
	private _frozenMs = 0;

	private constructor(options: VirtualEntryOptions) {
		const {self, incarnation, policy, environment, isFirstStart} = options;
		this.self = self;
		this.incarnation = incarnation;
		this._environment = environment;
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

	/** Time of the process's monotonic clock, in milliseconds. */
	get now(): number {
		return this._environment.time.now - this._frozenMs;
	}

	/** Runs the work now, or on resumption if the process is paused. Drops it if the process has ended. */
	runOrDefer(work: () => void): void {
		if (!this.isAlive) {
			return;
		}

		if (this._isPaused) {
			this._deferred.push(work);
			return;
		}

		work();
	}

	handleRate(event: RateEvent): void {
		this.runOrDefer(() => {
			if (event.type === 'transferRequested') {
				this.handleLease({type: 'peerSeen', peer: event.peer});
			}

			for (const command of this._core.handle(event, this.now)) {
				this._environment.executeRateCommand(this, command);
			}
		});
	}

	handleLease(event: LeaseEvent): void {
		this.runOrDefer(() => {
			for (const command of this.leases?.handle(event, this.now) ?? []) {
				this._environment.executeLeaseCommand(this, command);
			}
		});
	}

	pause(): void {
		this._isPaused = true;
	}

	/**
	 * Resumes the process after a pause.
	 * @param isClockFrozen whether the monotonic clock stopped; the process detects this by its wall clock
	 */
	resume(pausedMs: number, isClockFrozen: boolean): void {
		this._isPaused = false;
		if (isClockFrozen) {
			this._frozenMs += pausedMs;
			this.handleLease({type: 'clockJumped', byMs: pausedMs});
		}

		for (const work of this._deferred.splice(0)) {
			this.runOrDefer(work);
		}
	}

	/** Releases a shard and records its levels for the next holder. */
	release(shard: string): void {
		this.runOrDefer(() => {
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
