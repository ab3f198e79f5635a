import type {ServerStatus} from '../agent/types.js';
import {
	assumedWindow,
	failuresUntilSuspected,
	reportDecayMs,
} from './constants.js';
import type {DispatchResult, ServerLoad} from './types.js';

type ServerRecord = {
	inFlight: number;
	failuresInRow: number;
	lastProbedAt: number;
	report: LoadReport | undefined;
};

type LoadReport = {
	readonly at: number;
	readonly isAcceptingWork: boolean;
	/** Reported work that is not this entry's own. */
	readonly othersWork: number;
	readonly ownInFlight: number;
	readonly window: number;
	readonly expectedWaitMs: number;
};

const idle: ServerLoad = {
	inFlight: 0,
	outstanding: 0,
	window: assumedWindow,
	expectedWaitMs: 0,
	isSuspected: false,
};

/**
 * Load and failures of the servers that this entry talks to.
 * It keeps the servers that were used last and those with work in flight.
 */
export class ServerTable {
	static create(maxServers: number): ServerTable {
		return new ServerTable(maxServers);
	}

	private readonly _records = new Map<string, ServerRecord>();
	private readonly _suspected = new Set<string>();

	private constructor(private readonly _maxServers: number) {}

	get size(): number {
		return this._records.size;
	}

	/** Servers that failed several times in a row. */
	get suspected(): ReadonlySet<string> {
		return this._suspected;
	}

	noteDispatch(server: string): void {
		const record = this._take(server);
		record.inFlight++;
	}

	noteEnd(server: string): void {
		const record = this._records.get(server);
		if (record !== undefined && record.inFlight > 0) {
			record.inFlight--;
		}
	}

	/** Real traffic decides: failures in a row make a server suspected, any success clears it. */
	noteResult(server: string, result: DispatchResult): void {
		const record = this._take(server);
		record.failuresInRow = result === 'failed' ? record.failuresInRow + 1 : 0;
		this._updateSuspicion(server, record);
	}

	noteStatus(status: ServerStatus, now: number): void {
		const record = this._take(status.server);
		record.report = {
			at: now,
			isAcceptingWork: status.isAcceptingWork,
			othersWork: Math.max(0, status.running + status.queued - record.inFlight),
			ownInFlight: record.inFlight,
			window: Math.max(1, status.window),
			expectedWaitMs: status.expectedWaitMs,
		};
	}

	noteProbe(server: string, hasSucceeded: boolean, now: number): void {
		const record = this._take(server);
		record.lastProbedAt = now;
		if (hasSucceeded) {
			record.failuresInRow = 0;
			this._updateSuspicion(server, record);
		}
	}

	lastProbedAt(server: string): number {
		return this._records.get(server)?.lastProbedAt ?? -Infinity;
	}

	/** Whether the server said lately that it takes no work. */
	isTurningWorkAway(server: string, now: number): boolean {
		const report = this._records.get(server)?.report;
		return (
			report?.isAcceptingWork === false && now - report.at < reportDecayMs / 5
		);
	}

	load(server: string, now: number): ServerLoad {
		const record = this._records.get(server);
		if (record === undefined) {
			return idle;
		}

		const {report, inFlight} = record;
		const isSuspected = this._suspected.has(server);
		if (report === undefined) {
			return {...idle, inFlight, outstanding: inFlight, isSuspected};
		}

		const freshness = Math.max(0, 1 - (now - report.at) / reportDecayMs);
		return {
			inFlight,
			outstanding: inFlight + report.othersWork * freshness,
			window: report.window,
			expectedWaitMs: report.expectedWaitMs * freshness,
			isSuspected,
		};
	}

	/** Forgets a server that left the fleet, unless work is in flight there. */
	forget(server: string): void {
		if (this._records.get(server)?.inFlight === 0) {
			this._records.delete(server);
			this._suspected.delete(server);
		}
	}

	/** Servers that the table knows. */
	servers(): Iterable<string> {
		return this._records.keys();
	}

	private _take(server: string): ServerRecord {
		const known = this._records.get(server);
		const record = known ?? {
			inFlight: 0,
			failuresInRow: 0,
			lastProbedAt: -Infinity,
			report: undefined,
		};
		// The map is kept in the order of use.
		this._records.delete(server);
		this._records.set(server, record);
		if (known === undefined) {
			this._forgetOldest();
		}

		return record;
	}

	private _updateSuspicion(server: string, record: ServerRecord): void {
		if (record.failuresInRow >= failuresUntilSuspected) {
			this._suspected.add(server);
		} else {
			this._suspected.delete(server);
		}
	}

	private _forgetOldest(): void {
		if (this._records.size <= this._maxServers) {
			return;
		}

		for (const [server, record] of this._records) {
			if (record.inFlight === 0) {
				this._records.delete(server);
				this._suspected.delete(server);
				return;
			}
		}
	}
}
