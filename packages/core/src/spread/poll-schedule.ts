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

	private _isBegun = true;
	private _fleetSize = 1;
	private _failures = 0;
	private _startedAt: number | undefined;

	private constructor(
		private readonly _random: Random,
		private _dueAt: number,
	) {}

	/** Lets the first poll fall anywhere in the first interval, for a process that has read the store already. */
	public beginAnywhere(): void {
		this._isBegun = false;
	}

	public setFleetSize(fleetSize: number, now: number): void {
		this._fleetSize = fleetSize;
		if (!this._isBegun) {
			this._isBegun = true;
			this._dueAt = now + this.intervalMs() * this._random();
		}
	}

	/** Mean time between two polls of this process. */
	public intervalMs(): number {
		const fair =
			(this._fleetSize / storePollsPerSecond) * millisecondsPerSecond;
		return Math.max(shortestPollIntervalMs, fair);
	}

	/** Whether a poll is to be sent now. Marks it as sent. */
	public take(now: number): boolean {
		if (
			this._startedAt !== undefined &&
			now - this._startedAt > pollTimeoutMs
		) {
			this.fail(now, false);
		}

		if (this._startedAt !== undefined || now < this._dueAt) {
			return false;
		}

		this._startedAt = now;
		return true;
	}

	public succeed(now: number): void {
		this._failures = 0;
		this._startedAt = undefined;
		this._dueAt = now + this._spread(this.intervalMs());
	}

	/** A process that can't serve yet tries again sooner, with exponential backoff up to the usual interval. */
	public fail(now: number, isReady: boolean): void {
		this._failures++;
		this._startedAt = undefined;
		const backoff = shortestPollIntervalMs * 2 ** Math.min(this._failures, 20);
		const interval = this.intervalMs();
		this._dueAt =
			now + this._spread(isReady ? interval : Math.min(backoff, interval));
	}

	/** A random time about the interval keeps the processes from polling in step. */
	private _spread(intervalMs: number): number {
		return intervalMs * (0.5 + this._random());
	}
}
