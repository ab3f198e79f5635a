import {setTimeout as delay} from 'node:timers/promises';
import {TableCursor, type StoreEra, type StoreVersion} from '@balsamtray/core';
import {readDutyCheckMs, storeBackoffMs, storeTimeoutMs} from './constants.js';
import type {TableRead, TableSource} from './types.js';

export type TableWatchOptions<Row> = {
	readonly name: string;
	readonly source: TableSource<Row>;
	/** Long-poll wait for a change, in milliseconds. */
	readonly waitMs: () => number;
	/** Minimum time between the starts of two reads, in milliseconds. A read that shows a gap is followed by another at once. */
	readonly intervalMs: number;
	/** Time until this process has to read the table itself, in milliseconds. The first read is due at once. */
	readonly untilDueMs: () => number;
	/** Minimum pause after a failed read other than the first, in milliseconds. */
	readonly minFailurePauseMs: () => number;
	readonly clock: () => number;
	/** Newest known era of the store. Reads of earlier ones are dropped. */
	readonly era: StoreEra;
	/** Called with the era of each response, before it is used. */
	readonly onEra: (era: number) => void;
	/**
	 * Called after each successful read.
	 *
	 * @param isSnapshot whether the rows are the whole table; otherwise they are changes
	 * @param startedAt monotonic time at which the read started
	 * @param epoch clock epoch at that time
	 */
	readonly onRead: (
		read: TableRead<Row>,
		isSnapshot: boolean,
		startedAt: number,
		epoch: number,
	) => void;
	/** Clock epoch. A read that started in an earlier epoch proves no freshness. */
	readonly epoch: () => number;
	/** Called when a read ends (`answered` or `failed`), with its duration. */
	readonly onTimed: (outcome: string, durationMs: number) => void;
	readonly onLost: (table: string, err: unknown) => void;
	readonly onRegained: (table: string, lostForMs: number) => void;
};

/** Watches a table of the store by long polling. Reads the whole table again where its `TableCursor` says so. */
export class TableWatch<Row> {
	static create<Row>(options: TableWatchOptions<Row>): TableWatch<Row> {
		return new TableWatch(options);
	}

	private readonly _cursor: TableCursor;
	private _lostAt: number | undefined;
	private _isStopped = false;

	private constructor(private readonly _options: TableWatchOptions<Row>) {
		this._cursor = TableCursor.create(_options.era);
	}

	/** Whether the last call to the store failed. */
	get isLost(): boolean {
		return this._lostAt !== undefined;
	}

	/** Watches the table until disposed. Retries failed reads with exponential backoff. */
	async run(): Promise<void> {
		const {clock, intervalMs} = this._options;
		let backoffMs: number = storeBackoffMs.initial;
		while (!this._isStopped) {
			// eslint-disable-next-line no-await-in-loop
			await this._untilDue();
			const startedAt = clock();
			let pauseMs;
			// Each read continues from the version of the previous read.
			// eslint-disable-next-line no-await-in-loop
			if (await this._read(startedAt)) {
				backoffMs = storeBackoffMs.initial;
				// If the rows are incomplete, the whole table is read at once.
				pauseMs = this._cursor.hasRows ? intervalMs - (clock() - startedAt) : 0;
			} else {
				pauseMs = this._cursor.hasRows
					? Math.max(backoffMs, this._options.minFailurePauseMs())
					: backoffMs;
				backoffMs = Math.min(backoffMs * 2, storeBackoffMs.max);
			}

			if (pauseMs > 0) {
				// eslint-disable-next-line no-await-in-loop
				await delay(pauseMs);
			}
		}
	}

	dispose(): void {
		this._isStopped = true;
	}

	/** Skips changes up to a version, because this process got them from elsewhere. */
	noteVersion(version: StoreVersion): void {
		this._cursor.noteVersion(version, this._options.clock());
	}

	private async _untilDue(): Promise<void> {
		while (!this._isStopped && this._cursor.hasRows) {
			const untilDueMs = this._options.untilDueMs();
			if (untilDueMs <= 0) {
				return;
			}

			// The time until the read changes with each heartbeat.
			// eslint-disable-next-line no-await-in-loop
			await delay(Math.min(untilDueMs, readDutyCheckMs));
		}
	}

	/** Reads once and returns whether the store gave a usable response. */
	private async _read(startedAt: number): Promise<boolean> {
		const {source, epoch, clock, onTimed} = this._options;
		const startEpoch = epoch();
		const isSnapshot = this._cursor.needsSnapshot(startedAt);
		const waitMs = this._waitMs(startedAt);
		try {
			const read = isSnapshot
				? await source.readAll(storeTimeoutMs)
				: await source.readChanges(
						this._cursor.version,
						waitMs,
						waitMs + storeTimeoutMs,
					);
			if (this._isStopped) {
				return true;
			}

			this._noteSuccess();
			onTimed('answered', clock() - startedAt);
			if (read === 'historyLost') {
				this._cursor.noteHistoryLost();
				return true;
			}

			return this._onResponse(read, isSnapshot, startedAt, startEpoch);
		} catch (error) {
			onTimed('failed', clock() - startedAt);
			this._noteFailure(error);
			return false;
		}
	}

	private _waitMs(now: number): number {
		if (this._lostAt !== undefined) {
			// The first read after an outage does not long-poll, which renews the freshness proof at once.
			return 0;
		}

		const untilSettledMs = Math.ceil(this._cursor.msUntilSettled(now));
		return Math.max(0, Math.min(this._options.waitMs(), untilSettledMs));
	}

	/** Uses a response if its rows count. Returns whether it is not stale. */
	private _onResponse(
		read: TableRead<Row>,
		isSnapshot: boolean,
		startedAt: number,
		startEpoch: number,
	): boolean {
		const {onEra, onRead} = this._options;
		onEra(read.era);
		const verdict = this._cursor.judge(read, isSnapshot, startedAt);
		if (verdict === 'current') {
			onRead(read, isSnapshot, startedAt, startEpoch);
		}

		return verdict !== 'stale';
	}

	private _noteSuccess(): void {
		if (this._lostAt !== undefined) {
			const lostForMs = this._options.clock() - this._lostAt;
			this._lostAt = undefined;
			this._options.onRegained(this._options.name, lostForMs);
		}
	}

	private _noteFailure(error: unknown): void {
		if (this._lostAt === undefined && !this._isStopped) {
			this._lostAt = this._options.clock();
			this._options.onLost(this._options.name, error);
		}
	}
}
