import type {KeyedRow, RowRead, RowWrite} from '@balsamtray/core';

/** The store's lease row. Goes back to earlier copies, in which versions repeat. */
export class LeaseStore {
	static create(): LeaseStore {
		return new LeaseStore();
	}

	isDown = false;
	/** Numbers of reads and writes. */
	calls = 0;
	private _era = 0;
	private _version = 0;
	private _row: KeyedRow | undefined;
	/** All states of the row in the order of their versions. */
	private _history: KeyedRow[] = [];

	private constructor() {
		// Instances come from `create`.
	}

	read(): RowRead {
		this.calls++;
		return {...(this._row !== undefined && {row: this._row}), era: this._era};
	}

	putIf(value: string, expected: number): RowWrite {
		this.calls++;
		if ((this._row?.version ?? 0) !== expected) {
			return {kind: 'conflict', ...this.read()};
		}

		this._version++;
		this._row = {value, version: this._version};
		this._history.push(this._row);
		return {kind: 'written', version: this._version, era: this._era};
	}

	/** Gives a version to a row of another table. */
	writeOther(): void {
		this._version++;
	}

	/** Loses the newest writes of the row and the versions given out since. */
	rewind(writes: number): void {
		this._history = this._history.slice(
			0,
			Math.max(0, this._history.length - writes),
		);
		this._row = this._history.at(-1);
		this._version = this._row?.version ?? 0;
		this._era++;
	}
}
