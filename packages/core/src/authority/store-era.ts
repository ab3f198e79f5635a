import {eraGraceMs} from './constants.js';

/** The newest era of the store that this process has heard of, from the store or from other processes. */
export class StoreEra {
	static create(): StoreEra {
		return new StoreEra();
	}

	private _current = 0;
	private _settledAt = Number.NEGATIVE_INFINITY;

	private constructor() {}

	get current(): number {
		return this._current;
	}

	/** Time from which a full read of a table decides which rows exist. Until then, rows may not be written again yet. */
	get settledAt(): number {
		return this._settledAt;
	}

	/** Notes an era. Returns whether it is new. */
	note(era: number, now: number): boolean {
		if (era <= this._current) {
			return false;
		}

		this._current = era;
		this._settledAt = now + eraGraceMs;
		return true;
	}
}
