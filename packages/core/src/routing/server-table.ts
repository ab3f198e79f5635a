import type {ServerStatus} from '../agent/types.js';
import {
	assumedWindow,
	probeIntervalMs,
	reportDecayMs,
	silenceMs,
	probesUntilLost,
} from './constants.js';
import type {DispatchResult, ServerLoad} from './types.js';

type ServerRecord = {
	inFlight: number;
	/** Dispatches without the start of an answer. */
	unanswered: number;
	/** Time of the last word from the server, or of the first dispatch that waits for one. */
	silentSince: number;
	failuresInRow: number;
	/** Probes without an answer in a row. */
	probesMissed: number;
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
	/** Wait of a customer that has nothing waiting there. */
	readonly lightWaitMs: number;
	/** Waits of customers that have work waiting there. */
	readonly customerWaitsMs: Readonly<Record<string, number>>;
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
	static create(
		maxServers: number,
		failuresUntilSuspected: number,
	): ServerTable {
		return new ServerTable(maxServers, failuresUntilSuspected);
	}

	private readonly _records = new Map<string, ServerRecord>();
	private readonly _suspected = new Set<string>();
	/** Servers that have not answered some dispatch. */
	private readonly _awaited = new Set<string>();

	private constructor(
		private readonly _maxServers: number,
		private readonly _failuresUntilSuspected: number,
	) {}

	get size(): number {
		return this._records.size;
	}

	/** Servers that failed several times in a row. */
	get suspected(): ReadonlySet<string> {
		return this._suspected;
	}

	noteDispatch(server: string, now: number): void {
		const record = this._take(server);
		record.inFlight++;
		record.unanswered++;
		if (record.unanswered === 1) {
			record.silentSince = now;
			this._awaited.add(server);
		}
	}

	/** A dispatch got the start of its answer, or ended without one. */
	noteAnswered(server: string): void {
		const record = this._records.get(server);
		if (record !== undefined && record.unanswered > 0) {
			record.unanswered--;
			if (record.unanswered === 0) {
				this._awaited.delete(server);
			}
		}
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
		record.silentSince = now;
		record.report = {
			at: now,
			isAcceptingWork: status.isAcceptingWork,
			othersWork: Math.max(0, status.running + status.queued - record.inFlight),
			ownInFlight: record.inFlight,
			window: Math.max(1, status.window),
			expectedWaitMs: status.expectedWaitMs,
			lightWaitMs: status.lightWaitMs ?? status.expectedWaitMs,
			customerWaitsMs: status.customerWaitsMs ?? {},
		};
	}

	/**
	 * A probe that succeeds gives the all-clear. One that fails puts the server last.
	 * Returns whether the server has missed so many probes that its dispatches are taken for lost.
	 */
	noteProbe(server: string, hasSucceeded: boolean): boolean {
		const record = this._take(server);
		if (hasSucceeded) {
			record.failuresInRow = 0;
			record.probesMissed = 0;
		} else {
			record.failuresInRow = this._failuresUntilSuspected;
			record.probesMissed++;
		}

		this._updateSuspicion(server, record);
		return record.probesMissed >= probesUntilLost;
	}

	/** Servers to be probed now: the suspected, and those that owe an answer and say nothing. */
	takeDueProbes(now: number, most: number): readonly string[] {
		const due: string[] = [];
		for (const server of this._watched()) {
			const record = this._records.get(server);
			if (
				record !== undefined &&
				due.length < most &&
				this._probeAt(server, record) <= now
			) {
				record.lastProbedAt = now;
				due.push(server);
			}
		}

		return due;
	}

	/** Time of the next probe, if any server is to be probed. */
	nextProbeAt(): number | undefined {
		let next: number | undefined;
		for (const server of this._watched()) {
			const record = this._records.get(server);
			if (record !== undefined) {
				next = Math.min(next ?? Infinity, this._probeAt(server, record));
			}
		}

		return next;
	}

	/** Whether the server said lately that it takes no work. */
	isTurningWorkAway(server: string, now: number): boolean {
		const report = this._records.get(server)?.report;
		return (
			report?.isAcceptingWork === false && now - report.at < reportDecayMs / 5
		);
	}

	/** What is known of a server's load. The wait is the customer's own where it is named. */
	load(server: string, now: number, customer?: string): ServerLoad {
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
			expectedWaitMs: waitOf(report, customer) * freshness,
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

	private *_watched(): Iterable<string> {
		yield* this._suspected;
		for (const server of this._awaited) {
			if (!this._suspected.has(server)) {
				yield server;
			}
		}
	}

	private _probeAt(server: string, record: ServerRecord): number {
		const soonest = Math.max(0, record.lastProbedAt + probeIntervalMs);
		return this._suspected.has(server)
			? soonest
			: Math.max(soonest, record.silentSince + silenceMs);
	}

	private _take(server: string): ServerRecord {
		const known = this._records.get(server);
		const record = known ?? {
			inFlight: 0,
			unanswered: 0,
			silentSince: 0,
			failuresInRow: 0,
			probesMissed: 0,
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
		if (record.failuresInRow >= this._failuresUntilSuspected) {
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

function waitOf(report: LoadReport, customer: string | undefined): number {
	if (customer === undefined) {
		return report.expectedWaitMs;
	}

	const own = Object.hasOwn(report.customerWaitsMs, customer)
		? report.customerWaitsMs[customer]
		: undefined;
	return own ?? report.lightWaitMs;
}
