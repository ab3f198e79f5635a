import type {Random} from '../common/random.js';
import {
	pollTimeoutMs,
	minPollIntervalMs,
	fleetPollsPerSecond,
} from './constants.js';

const millisecondsPerSecond = 1000;

/**
 * Decides when a process polls the store. The interval grows with the size of the fleet,
 * so that the whole fleet makes a constant number of polls per second.
 */
export class PollSchedule {
	/** Creates a schedule whose first poll is due immediately. */
	public static create(random: Random, now: number): PollSchedule {
		return new PollSchedule(random, now);
	}

	private _isFirstPollScheduled = true;
	private _fleetSize = 1;
	private _failures = 0;
	private _startedAt: number | undefined;

	private constructor(
		private readonly _random: Random,
		private _dueAt: number,
	) {}

	/** Delays the first poll to a random time within the first interval, for a process that has already read the store. */
	public randomizeFirstPoll(): void {
		this._isFirstPollScheduled = false;
	}

	public setFleetSize(fleetSize: number, now: number): void {
		this._fleetSize = fleetSize;
		if (!this._isFirstPollScheduled) {
			this._isFirstPollScheduled = true;
			this._dueAt = now + this.intervalMs() * this._random();
		}
	}

	/** Mean interval between two polls by this process, in milliseconds. */
	public intervalMs(): number {
		const fleetIntervalMs =
			(this._fleetSize / fleetPollsPerSecond) * millisecondsPerSecond;
		return Math.max(minPollIntervalMs, fleetIntervalMs);
	}

	/** Starts a poll if one is due and returns whether it did. A poll in flight that has timed out counts as failed. */
	public tryStart(now: number): boolean {
		if (
			this._startedAt !== undefined &&
			now - this._startedAt > pollTimeoutMs
		) {
			this.noteFailure(now, false);
		}

		if (this._startedAt !== undefined || now < this._dueAt) {
			return false;
		}

		this._startedAt = now;
		return true;
	}

	public noteSuccess(now: number): void {
		this._failures = 0;
		this._startedAt = undefined;
		this._dueAt = now + this._jitter(this.intervalMs());
	}

	/** A process that is not ready yet retries sooner, with exponential backoff up to the regular interval. */
	public noteFailure(now: number, isReady: boolean): void {
		this._failures++;
		this._startedAt = undefined;
		const backoff = minPollIntervalMs * 2 ** Math.min(this._failures, 20);
		const interval = this.intervalMs();
		this._dueAt =
			now + this._jitter(isReady ? interval : Math.min(backoff, interval));
	}

	/** Adds random jitter to the interval, so that processes do not poll in step. */
	private _jitter(intervalMs: number): number {
		return intervalMs * (0.5 + this._random());
	}
}
