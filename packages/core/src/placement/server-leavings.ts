import {maxLeavingMs, maxRememberedServers, minReturnMs} from './constants.js';
import type {ServerRecord} from './types.js';

type Leaving = {
	/** Start of the server that is leaving, in milliseconds since the epoch; 0 if unknown. */
	readonly born: number;
	/** Time at which it last said so. */
	readonly saidAt: number;
	/** Its newest row; undefined if none is known. */
	readonly record: ServerRecord | undefined;
	/** Whether the list has said so too. */
	readonly isDraining: boolean;
	/** Time since which it has no row; undefined while it has one. */
	readonly unlistedSince: number | undefined;
	/** Whether its row has vanished and returned since. */
	readonly hasReturned: boolean;
};

/** What a server says when it is leaving. */
export type LeavingStatement = {
	/** Known start of the server, in milliseconds since the epoch; 0 if unknown. */
	readonly born: number;
	/** Its newest known row; undefined if that is forgotten. */
	readonly record: ServerRecord | undefined;
	/** Whether the list has that row now. */
	readonly isListed: boolean;
};

/**
 * Servers that said that they are leaving. That holds for a start of a server until a later one is known, whether its row
 * is listed or not: rows also vanish and return while a server runs. Keeps the last `maxRememberedServers` of them.
 */
export class ServerLeavings {
	static create(): ServerLeavings {
		return new ServerLeavings();
	}

	/** By server, in the order in which they last said so. */
	private readonly _leavings = new Map<string, Leaving>();

	private constructor() {}

	get size(): number {
		return this._leavings.size;
	}

	has(id: string): boolean {
		return this._leavings.has(id);
	}

	/** Returns whether this is news. */
	note(
		id: string,
		{born, record, isListed}: LeavingStatement,
		now: number,
	): boolean {
		const known = this._leavings.get(id);
		const isNews = known === undefined || known.born < born;
		this._leavings.delete(id);
		this._leavings.set(id, {
			born: isNews ? born : known.born,
			saidAt: now,
			record: record ?? known?.record,
			isDraining: known?.isDraining ?? false,
			unlistedSince: isListed ? undefined : (known?.unlistedSince ?? now),
			hasReturned: known?.hasReturned ?? false,
		});
		this._forgetOldest();
		return isNews;
	}

	/** Notes a start of the server. A later one than the leaving one ends the leaving. */
	noteBorn(id: string, born: number): void {
		const leaving = this._leavings.get(id);
		if (leaving === undefined || born <= leaving.born) {
			return;
		}

		if (leaving.born === 0) {
			this._leavings.set(id, {...leaving, born});
		} else {
			this._leavings.delete(id);
		}
	}

	/**
	 * Ends the leaving if the row is of a newer start. Of a server that does not tell its start, the list must have said
	 * that it leaves, or the row must show another start: the server may have left and returned between two reads.
	 */
	noteListed(record: ServerRecord, now: number): void {
		const {id, isDraining} = record;
		const known = this._leavings.get(id);
		if (
			known?.born === 0 &&
			!isDraining &&
			isAnotherStart(known, record, now)
		) {
			this._leavings.delete(id);
			return;
		}

		this.noteBorn(id, record.born ?? 0);
		const leaving = this._leavings.get(id);
		if (leaving !== undefined) {
			this._leavings.set(id, {
				...leaving,
				record,
				isDraining: leaving.isDraining || isDraining,
				unlistedSince: undefined,
				hasReturned: leaving.hasReturned || leaving.unlistedSince !== undefined,
			});
		}
	}

	/** Notes that the server has no row, or none that can be read. */
	noteUnlisted(id: string, now: number): void {
		const leaving = this._leavings.get(id);
		if (leaving !== undefined) {
			this._leavings.set(id, {
				...leaving,
				unlistedSince: leaving.unlistedSince ?? now,
			});
		}
	}

	private _forgetOldest(): void {
		for (const id of this._leavings.keys()) {
			if (this._leavings.size <= maxRememberedServers) {
				return;
			}

			this._leavings.delete(id);
		}
	}
}

/**
 * Whether a row of a server that does not tell its start shows another one than the leaving one. The server is cold after
 * a start, but rows from before its leaving may say so too while they can still arrive. A row that was away for less time
 * than that may be the same one.
 */
function isAnotherStart(
	{saidAt, record: known, isDraining, unlistedSince, hasReturned}: Leaving,
	{address, softwareVersion, coldLeftMs}: ServerRecord,
	now: number,
): boolean {
	return (
		isDraining ||
		(unlistedSince !== undefined && now - unlistedSince >= minReturnMs) ||
		(hasReturned && now - saidAt >= maxLeavingMs) ||
		(known !== undefined &&
			(address !== known.address ||
				softwareVersion !== known.softwareVersion ||
				(coldLeftMs > known.coldLeftMs && now - saidAt >= minReturnMs)))
	);
}
