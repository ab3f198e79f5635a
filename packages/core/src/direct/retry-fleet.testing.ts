import {RetryAllowance} from './retry-allowance.js';
import {RetryAudit, type RetryWindow} from './retry-audit.js';

/** The platform's limit in a simulated fleet. */
export const retryLimit = {windowMs: 10_000, ratio: 0.2, extra: 56};

/** Time between two requests of one entry, in milliseconds. */
const requestPauseMs = 100;

type Entry = {
	readonly id: string;
	allowance: RetryAllowance;
	/** Entries that it counts. */
	known: number;
	isRunning: boolean;
};

/** Entries in virtual time whose requests are all refused by the first server, so that each one is worth a retry. */
export class RetryFleet {
	/** @param size entries at the first start of the fleet */
	static create(size: number): RetryFleet {
		return new RetryFleet(size);
	}

	private readonly _entries: Entry[] = [];
	private readonly _audit = RetryAudit.create();
	private _now = 0;
	private _requests = 0;

	private constructor(size: number) {
		for (let i = 0; i < size; i++) {
			this._add(true);
		}

		for (const entry of this._entries) {
			entry.known = size;
		}
	}

	get now(): number {
		return this._now;
	}

	/** Largest excess of retries in any window. */
	get worst(): RetryWindow {
		return this._audit.worst(retryLimit);
	}

	/** Retries that were sent. */
	get retries(): number {
		return this._audit.retries;
	}

	/** Lets the entries send requests for a time. */
	runFor(durationMs: number): void {
		const endAt = this._now + durationMs;
		for (; this._now < endAt; this._now += requestPauseMs) {
			for (const entry of this._entries) {
				if (entry.isRunning) {
					this._request(entry);
				}
			}
		}
	}

	/** Kills entries and starts them again at once. */
	restart(entries: Iterable<number> = this._entries.keys()): void {
		for (const i of entries) {
			this._entries[i]!.allowance = this._createAllowance(false);
		}
	}

	private _add(isFirstStart: boolean): void {
		this._entries.push({
			id: `entry-${this._entries.length}`,
			allowance: this._createAllowance(isFirstStart),
			known: 1,
			isRunning: true,
		});
	}

	private _createAllowance(isFirstStart: boolean): RetryAllowance {
		return RetryAllowance.create({
			limit: () => retryLimit,
			startedAt: this._now,
			isFirstStart,
		});
	}

	private _request({allowance, known}: Entry): void {
		const id = `request-${this._requests++}`;
		this._audit.noteRequest(this._now);
		allowance.noteRequest(this._now);
		this._audit.noteArrival(id, this._now);
		if (allowance.tryTake(known, this._now)) {
			this._audit.noteArrival(id, this._now);
		}
	}
}
