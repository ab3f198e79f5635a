import {maxCensusMs} from './constants.js';

/**
 * Counts the entries that may have used their part of a right of the whole fleet within a time: the known ones, and those
 * that were known within that time.
 */
export class EntryCensus {
	static create(): EntryCensus {
		return new EntryCensus();
	}

	/** Time at which each other entry was last known; infinite for those that are known now. */
	private readonly _knownUntil = new Map<string, number>();
	private _hasTable = false;

	private constructor() {}

	/** Replaces the known other entries. */
	setOthers(others: Iterable<string>, now: number): void {
		const known = new Set(others);
		for (const [id, until] of this._knownUntil) {
			if (now - until > maxCensusMs) {
				this._knownUntil.delete(id);
			} else if (until === Number.POSITIVE_INFINITY && !known.has(id)) {
				this._knownUntil.set(id, now);
			}
		}

		for (const id of known) {
			this._knownUntil.set(id, Number.POSITIVE_INFINITY);
		}
	}

	/** Called when the whole members table was read. Until then there may be any number of entries. */
	noteTable(): void {
		this._hasTable = true;
	}

	/** Whether the members table was read. */
	get hasTable(): boolean {
		return this._hasTable;
	}

	/**
	 * Number of entries that were known at some time of the last `withinMs` milliseconds (`maxCensusMs` at most), including this
	 * one; undefined before the members table was read.
	 */
	count(withinMs: number, now: number): number | undefined {
		if (!this._hasTable) {
			return undefined;
		}

		let count = 1;
		for (const until of this._knownUntil.values()) {
			count += now - until < withinMs ? 1 : 0;
		}

		return count;
	}
}
