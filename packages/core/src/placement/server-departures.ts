import {maxNoticeAgeMs} from './constants.js';
import type {ServerRecord} from './types.js';

type Departure = {
	readonly born: number | undefined;
	readonly remainingMs: number;
	/** Earliest time at which the server is gone. */
	readonly goneAt: number;
};

/** When servers will be gone that are taken away at short notice, whatever they run. */
export class ServerDepartures {
	static create(): ServerDepartures {
		return new ServerDepartures();
	}

	private readonly _departures = new Map<string, Departure>();

	private constructor() {}

	get size(): number {
		return this._departures.size;
	}

	/**
	 * Notes a server's newest row. The notice in it may be as old as the last read that did not show it. A notice that is
	 * read again, as after a change of the store's era, does not give the server more time.
	 *
	 * @param sinceReadMs time since the list was known to be the newest before this read, in milliseconds
	 */
	note(
		{id, born, isDraining, remainingMs}: ServerRecord,
		sinceReadMs: number,
		now: number,
	): void {
		const known = this._departures.get(id);
		if (!isDraining || remainingMs === undefined) {
			this._departures.delete(id);
		} else if (known?.remainingMs !== remainingMs || known.born !== born) {
			const ageMs = Math.min(maxNoticeAgeMs, Math.max(0, sinceReadMs));
			const goneAt = now + remainingMs - ageMs;
			this._departures.set(id, {born, remainingMs, goneAt});
		}
	}

	forget(id: string): void {
		this._departures.delete(id);
	}

	/** Time until the server may be gone, in milliseconds, below 0 after that; undefined if no time is known. */
	leftMs(id: string, now: number): number | undefined {
		const departure = this._departures.get(id);
		return departure && departure.goneAt - now;
	}
}
