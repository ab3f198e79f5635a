import type {ServerStatus} from '../agent/types.js';
import {
	defaultWindow,
	probeIntervalMs,
	reportDecayMs,
	silenceTimeoutMs,
	probesUntilLost,
} from './constants.js';
import type {DispatchResult, ServerLoad} from './types.js';

type ServerRecord = {
	inFlight: number;
	/** Dispatches whose answer has not started yet. */
	unanswered: number;
	/** Time of the server's last report, or of the first unanswered dispatch if that is later. */
	silentSince: number;
	consecutiveFailures: number;
	/** Consecutive probes without an answer. */
	missedProbes: number;
	lastProbedAt: number;
	report: LoadReport | undefined;
};

type LoadReport = {
	readonly at: number;
	readonly isAcceptingWork: boolean;
	/** Reported work of other entries. */
	readonly othersWork: number;
	readonly ownInFlight: number;
	readonly window: number;
	readonly expectedWaitMs: number;
	/** Expected wait in milliseconds of a customer that has nothing waiting on the server. */
	readonly lightWaitMs: number;
	/** Expected waits in milliseconds of customers that have work waiting on the server. */
	readonly customerWaitsMs: Readonly<Record<string, number>>;
};

const idleLoad: ServerLoad = {
	inFlight: 0,
	outstanding: 0,
	window: defaultWindow,
	expectedWaitMs: 0,
	isSuspected: false,
};

/**
 * Tracks load and failures of the servers that this entry dispatches to.
 * Keeps the most recently used servers and those with dispatches in flight.
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
	/** Servers with at least one unanswered dispatch. */
	private readonly _unanswered = new Set<string>();

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
		const record = this._getOrCreate(server);
		record.inFlight++;
		record.unanswered++;
		if (record.unanswered === 1) {
			record.silentSince = now;
			this._unanswered.add(server);
		}
	}

	/** Records that the answer to a dispatch has started, or that the dispatch ended without one. */
	noteAnswered(server: string): void {
		const record = this._records.get(server);
		if (record !== undefined && record.unanswered > 0) {
			record.unanswered--;
			if (record.unanswered === 0) {
				this._unanswered.delete(server);
			}
		}
	}

	/** Records that a dispatch ended. */
	noteEnd(server: string): void {
		const record = this._records.get(server);
		if (record !== undefined && record.inFlight > 0) {
			record.inFlight--;
		}
	}

	/** Records the result of a dispatch. Consecutive failures make a server suspected. Any other result clears the suspicion. */
	noteResult(server: string, result: DispatchResult): void {
		const record = this._getOrCreate(server);
		record.consecutiveFailures =
			result === 'failed' ? record.consecutiveFailures + 1 : 0;
		this._updateSuspicion(server, record);
	}

	noteStatus(status: ServerStatus, now: number): void {
		const record = this._getOrCreate(status.server);
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
	 * Records the result of a probe. Success clears the suspicion; failure makes the server suspected.
	 * Returns whether the server has missed so many probes that its dispatches count as lost.
	 */
	noteProbe(server: string, hasSucceeded: boolean): boolean {
		const record = this._getOrCreate(server);
		if (hasSucceeded) {
			record.consecutiveFailures = 0;
			record.missedProbes = 0;
		} else {
			record.consecutiveFailures = this._failuresUntilSuspected;
			record.missedProbes++;
		}

		this._updateSuspicion(server, record);
		return record.missedProbes >= probesUntilLost;
	}

	/** Returns the servers to probe now: suspected ones, and silent ones with an unanswered dispatch. Marks them as probed. */
	takeDueProbes(now: number, maxProbes: number): readonly string[] {
		const due: string[] = [];
		for (const server of this._probeCandidates()) {
			const record = this._records.get(server);
			if (
				record !== undefined &&
				due.length < maxProbes &&
				this._probeAt(server, record) <= now
			) {
				record.lastProbedAt = now;
				due.push(server);
			}
		}

		return due;
	}

	/** Time of the next probe, or undefined if no server needs one. */
	nextProbeAt(): number | undefined {
		let next: number | undefined;
		for (const server of this._probeCandidates()) {
			const record = this._records.get(server);
			if (record !== undefined) {
				next = Math.min(next ?? Infinity, this._probeAt(server, record));
			}
		}

		return next;
	}

	/** Whether the server recently reported that it accepts no work. */
	isRejectingWork(server: string, now: number): boolean {
		const report = this._records.get(server)?.report;
		return (
			report?.isAcceptingWork === false && now - report.at < reportDecayMs / 5
		);
	}

	/** Returns the last known load of a server. With `customer`, the expected wait is that of the customer. */
	load(server: string, now: number, customer?: string): ServerLoad {
		const record = this._records.get(server);
		if (record === undefined) {
			return idleLoad;
		}

		const {report, inFlight} = record;
		const isSuspected = this._suspected.has(server);
		if (report === undefined) {
			return {...idleLoad, inFlight, outstanding: inFlight, isSuspected};
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

	/** Removes a server that left the fleet, unless it has dispatches in flight. */
	remove(server: string): void {
		if (this._records.get(server)?.inFlight === 0) {
			this._records.delete(server);
			this._suspected.delete(server);
		}
	}

	/** Identifiers of all tracked servers. */
	servers(): Iterable<string> {
		return this._records.keys();
	}

	private *_probeCandidates(): Iterable<string> {
		yield* this._suspected;
		for (const server of this._unanswered) {
			if (!this._suspected.has(server)) {
				yield server;
			}
		}
	}

	private _probeAt(server: string, record: ServerRecord): number {
		const earliest = Math.max(0, record.lastProbedAt + probeIntervalMs);
		return this._suspected.has(server)
			? earliest
			: Math.max(earliest, record.silentSince + silenceTimeoutMs);
	}

	private _getOrCreate(server: string): ServerRecord {
		const known = this._records.get(server);
		const record = known ?? {
			inFlight: 0,
			unanswered: 0,
			silentSince: 0,
			consecutiveFailures: 0,
			missedProbes: 0,
			lastProbedAt: -Infinity,
			report: undefined,
		};
		// Reinserts the record, so that the map is ordered by last use.
		this._records.delete(server);
		this._records.set(server, record);
		if (known === undefined) {
			this._evictOldest();
		}

		return record;
	}

	private _updateSuspicion(server: string, record: ServerRecord): void {
		if (record.consecutiveFailures >= this._failuresUntilSuspected) {
			this._suspected.add(server);
		} else {
			this._suspected.delete(server);
		}
	}

	private _evictOldest(): void {
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

	const customerWaitMs = Object.hasOwn(report.customerWaitsMs, customer)
		? report.customerWaitsMs[customer]
		: undefined;
	return customerWaitMs ?? report.lightWaitMs;
}
