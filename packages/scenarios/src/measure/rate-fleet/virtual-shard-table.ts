import type {
	Random,
	ShardRow,
	ShardWriteResult,
	VersionedShardRow,
} from '@balsamtray/core';
import type {VirtualTime} from './virtual-time.js';

const responseDelayMs = 3;
const maxWriteDelayMs = 6000;
const timeoutMs = 1000;

/** A conditional write of one shard's row. An absent version requires that the row doesn't exist. */
export type RowWrite = {
	readonly shard: string;
	readonly row: ShardRow;
	readonly version?: number;
};

/** Simulates the table service's shard rows in virtual time, with outages and lost responses. */
export class VirtualShardTable {
	static create(time: VirtualTime, random: Random): VirtualShardTable {
		return new VirtualShardTable(time, random);
	}

	isDown = false;
	/** Share of writes whose response is lost. Half of them take effect at once, half up to 6 seconds later. */
	lostResponseShare = 0;
	reads = 0;
	writes = 0;
	private readonly _rows = new Map<string, VersionedShardRow>();
	private readonly _time: VirtualTime;
	private readonly _random: Random;
	private _version = 0;

	private constructor(time: VirtualTime, random: Random) {
		this._time = time;
		this._random = random;
	}

	read(
		done: (rows: ReadonlyMap<string, VersionedShardRow> | undefined) => void,
	): void {
		this.reads++;
		const rows = this.isDown ? undefined : new Map(this._rows);
		this._time.after(responseDelayMs, () => {
			done(rows);
		});
	}

	write(write: RowWrite, done: (result: ShardWriteResult) => void): void {
		this.writes++;
		const respond = (result: ShardWriteResult, delayMs: number) => {
			this._time.after(delayMs, () => {
				done(result);
			});
		};

		if (this.isDown) {
			respond({kind: 'unavailable'}, responseDelayMs);
			return;
		}

		if (this._random() >= this.lostResponseShare) {
			respond(this._apply(write), responseDelayMs);
			return;
		}

		const applyDelayMs =
			this._random() < 0.5 ? 0 : this._random() * maxWriteDelayMs;
		this._time.after(applyDelayMs, () => {
			this._apply(write);
		});
		respond({kind: 'lost'}, timeoutMs);
	}

	private _apply(write: RowWrite): ShardWriteResult {
		const current = this._rows.get(write.shard);
		if (current?.version !== write.version) {
			return current === undefined
				? {kind: 'conflict'}
				: {kind: 'conflict', current};
		}

		const version = ++this._version;
		this._rows.set(write.shard, {row: write.row, version});
		return {kind: 'committed', version};
	}
}
