import type {
	Random,
	ShardRow,
	ShardWriteResult,
	VersionedShardRow,
} from '@balsamtray/core';
import type {VirtualTime} from './virtual-time.js';

const answerDelayMs = 3;
const lateWriteMs = 6000;
const timeoutMs = 1000;

/** A conditional write of one shard's row. */
export type RowWrite = {
	readonly shard: string;
	readonly row: ShardRow;
	readonly version?: number;
};

/** The table service's rows of shards in virtual time, with outages and lost answers. */
export class VirtualShardTable {
	static create(time: VirtualTime, random: Random): VirtualShardTable {
		return new VirtualShardTable(time, random);
	}

	isDown = false;
	/** Share of writes whose answer is lost. Half of them take effect at once, half later. */
	loseAnswerShare = 0;
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
		this._time.after(answerDelayMs, () => {
			done(rows);
		});
	}

	write(write: RowWrite, done: (result: ShardWriteResult) => void): void {
		this.writes++;
		const answer = (result: ShardWriteResult, delayMs: number) => {
			this._time.after(delayMs, () => {
				done(result);
			});
		};

		if (this.isDown) {
			answer({kind: 'unavailable'}, answerDelayMs);
			return;
		}

		if (this._random() >= this.loseAnswerShare) {
			answer(this._apply(write), answerDelayMs);
			return;
		}

		const applyDelayMs =
			this._random() < 0.5 ? 0 : this._random() * lateWriteMs;
		this._time.after(applyDelayMs, () => {
			this._apply(write);
		});
		answer({kind: 'lost'}, timeoutMs);
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
