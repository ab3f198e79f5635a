import {createWriteStream, fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import type {Writable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import type {LogEvent} from './log-events.js';

/** Maximum lines per second of one event kind, doubled for failed requests. Further lines are dropped and counted. */
const maxLinesPerSecond = 200;

/** Maximum bytes buffered for the log's reader. Beyond that all lines are dropped. */
const maxBufferedBytes = 256 * 1024;

/** Buffered bytes beyond which ordinary lines are dropped, which reserves space for failed requests. */
const maxBufferedOrdinaryBytes = 128 * 1024;

type Budget = {second: number; written: number; dropped: number};

/** Writes one JSON line per event. Drops lines instead of blocking on a slow reader. */
export class EventLog {
	static create(
		hostId: string,
		now: () => number,
		output: Writable = openStandardOutput(),
	): EventLog {
		return new EventLog(hostId, now, output);
	}

	private readonly _budgets = new Map<string, Budget>();
	private _isBroken = false;

	private constructor(
		private readonly _hostId: string,
		private readonly _now: () => number,
		private readonly _output: Writable,
	) {
		_output.on('error', () => {
			// The reader is gone, so there is nowhere to report the error.
			this._isBroken = true;
		});
	}

	write(event: LogEvent): void {
		const now = this._now();
		const budget = this._budgetOf(event.event, now);
		if (!this._canWrite(event, budget)) {
			budget.dropped++;
			return;
		}

		budget.written++;
		this._writeLine(event, now);
	}

	/** Resolves when all lines are written, or after a time in milliseconds, as their reader may be slow or gone. */
	async flush(maxMs: number): Promise<void> {
		await Promise.race([
			new Promise<void>(resolve => {
				this._output.write('', () => {
					resolve();
				});
			}),
			delay(maxMs),
		]);
	}

	private _canWrite(event: LogEvent, budget: Budget): boolean {
		const isFailure = event.event === 'request' && event.reason !== undefined;
		const limit = isFailure ? maxBufferedBytes : maxBufferedOrdinaryBytes;
		return (
			!this._isBroken &&
			this._output.writableLength < limit &&
			budget.written < (isFailure ? 2 * maxLinesPerSecond : maxLinesPerSecond)
		);
	}

	private _budgetOf(kind: string, now: number): Budget {
		const second = Math.floor(now / 1000);
		const known = this._budgets.get(kind);
		if (known?.second === second) {
			return known;
		}

		const budget = {second, written: 0, dropped: 0};
		this._budgets.set(kind, budget);
		if (known !== undefined && known.dropped > 0) {
			this._writeLine({event: 'linesDropped', kind, lines: known.dropped}, now);
		}

		return budget;
	}

	private _writeLine(event: LogEvent, now: number): void {
		const line = {time: Date.now(), now: Math.round(now), host: this._hostId};
		this._output.write(JSON.stringify({...line, ...event}) + '\n');
	}
}

/** Opens standard output for asynchronous writes. `process.stdout` writes synchronously to pipes and files. */
function openStandardOutput(): Writable {
	const fd = 1;
	const stat = fstatSync(fd);
	return stat.isFIFO() || stat.isSocket()
		? new Socket({fd, readable: false, writable: true})
		: createWriteStream('', {fd, autoClose: false});
}
