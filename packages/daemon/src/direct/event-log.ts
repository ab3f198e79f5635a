import {createWriteStream, fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import type {Writable} from 'node:stream';
import type {LogEvent} from './log-events.js';

/** Lines of one kind that are written in a second. The rest is counted. */
const linesPerSecond = 200;

/** Bytes that may wait for a reader of the log; beyond them lines are dropped. */
const maxWaitingBytes = 256 * 1024;

/** Bytes that may wait before lines about ordinary requests are dropped, so that failures still find room. */
const maxWaitingOrdinaryBytes = 128 * 1024;

type Budget = {second: number; written: number; dropped: number};

/** Writes one JSON line for each event. Never waits for its reader. */
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
			// The reader is gone, so that there is nobody to tell.
			this._isBroken = true;
		});
	}

	write(event: LogEvent): void {
		const now = this._now();
		const budget = this._budgetOf(event.event, now);
		if (!this._hasRoom(event, budget)) {
			budget.dropped++;
			return;
		}

		budget.written++;
		this._writeLine(event, now);
	}

	private _hasRoom(event: LogEvent, budget: Budget): boolean {
		const isFailure = event.event === 'request' && event.reason !== undefined;
		const limit = isFailure ? maxWaitingBytes : maxWaitingOrdinaryBytes;
		return (
			!this._isBroken &&
			this._output.writableLength < limit &&
			budget.written < (isFailure ? 2 * linesPerSecond : linesPerSecond)
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

/** Standard output without blocking writes, which Node.js uses for pipes by default. */
function openStandardOutput(): Writable {
	const fd = 1;
	const stat = fstatSync(fd);
	return stat.isFIFO() || stat.isSocket()
		? new Socket({fd, readable: false, writable: true})
		: createWriteStream('', {fd, autoClose: false});
}
