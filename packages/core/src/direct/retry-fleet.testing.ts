import {EntryCensus} from '../topology/entry-census.js';
import {RetryAllowance} from './retry-allowance.js';
import {RetryAudit, type RetryWindow} from './retry-audit.js';

/** The platform's limit in a simulated fleet. */
export const retryLimit = {windowMs: 10_000, ratio: 0.2, extra: 56};

/** Time until the entries know of a change of the members table, in milliseconds. */
const learnMs = 1000;

type Entry = {
	readonly id: string;
	allowance: RetryAllowance;
	census: EntryCensus;
	isRunning: boolean;
	/** Whether it learns of changes of the members table. */
	isCut: boolean;
};

/** Entries in virtual time whose requests are all refused by the first server, so that each one is worth a retry. */
export class RetryFleet {
	/**
	 * @param size entries at the first start of the fleet
	 * @param requestPauseMs time between two requests of one entry, in milliseconds
	 */
	static create(size: number, requestPauseMs = 100): RetryFleet {
		const fleet = new RetryFleet(requestPauseMs);
		for (let i = 0; i < size; i++) {
			fleet._start(true);
		}

		fleet._tellMembers();
		return fleet;
	}

	/** Whether an entry that starts can read the members table. */
	isTableReadable = true;
	private readonly _entries: Entry[] = [];
	private readonly _audit = RetryAudit.create();
	private _now = 0;
	private _requests = 0;
	/** Time at which the entries learn of the last change of the members table. */
	private _toldAt = Number.POSITIVE_INFINITY;

	private constructor(private readonly _requestPauseMs: number) {}

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
		for (; this._now < endAt; this._now += this._requestPauseMs) {
			if (this._now >= this._toldAt) {
				this._tellMembers();
			}

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
			const entry = this._entries[i]!;
			entry.allowance = this._createAllowance(false);
			entry.census = EntryCensus.create();
			this._readTable(entry);
		}
	}

	/** Starts new entries. */
	join(count: number): void {
		for (let i = 0; i < count; i++) {
			this._readTable(this._start(false));
		}

		this._toldAt = this._now + learnMs;
	}

	/** Stops entries, which take themselves out of the members table. */
	leave(entries: Iterable<number>): void {
		for (const i of entries) {
			this._entries[i]!.isRunning = false;
		}

		this._toldAt = this._now + learnMs;
	}

	/** Starts entries again that have left. */
	comeBack(entries: Iterable<number>): void {
		for (const i of entries) {
			this._entries[i]!.isRunning = true;
			this.restart([i]);
		}

		this._toldAt = this._now + learnMs;
	}

	/** Cuts entries from the store and from their peers, or ends that. */
	setCut(entries: Iterable<number>, isCut: boolean): void {
		for (const i of entries) {
			this._entries[i]!.isCut = isCut;
		}

		this._toldAt = this._now + learnMs;
	}

	private _start(isFirstStart: boolean): Entry {
		const entry: Entry = {
			id: `entry-${this._entries.length}`,
			allowance: this._createAllowance(isFirstStart),
			census: EntryCensus.create(),
			isRunning: true,
			isCut: false,
		};
		this._entries.push(entry);
		return entry;
	}

	private _createAllowance(isFirstStart: boolean): RetryAllowance {
		return RetryAllowance.create({
			limit: () => retryLimit,
			startedAt: this._now,
			isFirstStart,
		});
	}

	private _tellMembers(): void {
		this._toldAt = Number.POSITIVE_INFINITY;
		for (const entry of this._entries) {
			this._readTable(entry);
		}
	}

	private _readTable({id, census, isCut}: Entry): void {
		if (this.isTableReadable && !isCut) {
			const others = this._entries.filter(
				other => other.isRunning && other.id !== id,
			);
			census.noteTable();
			census.setOthers(
				others.map(other => other.id),
				this._now,
			);
		}
	}

	private _request({allowance, census}: Entry): void {
		const id = `request-${this._requests++}`;
		const entries = census.count(retryLimit.windowMs, this._now);
		this._audit.noteRequest(this._now);
		allowance.noteRequest(this._now);
		this._audit.noteArrival(id, this._now);
		if (allowance.tryTake(entries, this._now)) {
			allowance.noteSent(this._now);
			this._audit.noteArrival(id, this._now);
		}
	}
}
