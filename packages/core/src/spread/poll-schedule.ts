import type {Random} from '../common/random.js';
import {
	pollTimeoutMs,
	shortestPollIntervalMs,
	storePollsPerSecond,
} from './constants.js';

const millisecondsPerSecond = 1000;

/**
 * Decides when a process reads the store. The interval grows with the fleet,
 * so that the whole fleet makes a constant number of reads a second.
 */
export class PollSchedule {
	/** A schedule whose first poll is due at once. */
	public static create(random: Random, now: number): PollSchedule {
		return new PollSchedule(random, now);
	}

	private isBegun = true;
	private fleetSize = 1;
	private failures = 0;
	private startedAt: number | undefined;

	private constructor(
		private readonly random: Random,
		private dueAt: number,
	) {}

	/** Lets the first poll fall anywhere in the first interval, for a process that has read the store already. */
	public beginAnywhere(): void {
		this.isBegun = false;
	}

	public setFleetSize(fleetSize: number, now: number): void {
		this.fleetSize = fleetSize;
		if (!this.isBegun) {
			this.isBegun = true;
			this.dueAt = now + this.intervalMs() * this.random();
		}
	}

	/** Mean time between two polls of this process. */
	public intervalMs(): number {
		const fair = (this.fleetSize / storePollsPerSecond) * millisecondsPerSecond;
		return Math.max(shortestPollIntervalMs, fair);
	}

	/** Whether a poll is to be sent now. Marks it as sent. */
	public take(now: number): boolean {
		if (this.startedAt !== undefined && now - this.startedAt > pollTimeoutMs) {
			this.fail(now, false);
		}

		if (this.startedAt !== undefined || now < this.dueAt) {
			return false;
		}

		this.startedAt = now;
		return true;
	}

	public succeed(now: number): void {
		this.failures = 0;
		this.startedAt = undefined;
		this.dueAt = now + this.spread(this.intervalMs());
	}

	/** A process that can't serve yet tries again sooner, with exponential backoff up to the usual interval. */
	public fail(now: number, isReady: boolean): void {
		this.failures++;
		this.startedAt = undefined;
		const backoff = shortestPollIntervalMs * 2 ** Math.min(this.failures, 20);
		const interval = this.intervalMs();
		this.dueAt =
			now + this.spread(isReady ? interval : Math.min(backoff, interval));
	}

	/** A random time about the interval keeps the processes from polling in step. */
	private spread(intervalMs: number): number {
		return intervalMs * (0.5 + this.random());
	}
}
