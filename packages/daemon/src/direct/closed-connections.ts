import type {DirectMetrics} from './direct-metrics.js';
import type {EventLog} from './event-log.js';

/** Interval of the log lines on closed connections, in milliseconds. */
const logIntervalMs = 1000;

/** Counts callers' connections that this side closed without a request, and logs them at intervals. */
export class ClosedConnections {
	static create(
		log: Pick<EventLog, 'write'>,
		metrics: Pick<DirectMetrics, 'noteClosedConnection'>,
	): ClosedConnections {
		return new ClosedConnections(log, metrics);
	}

	private readonly _counts = new Map<string, number>();
	private _isScheduled = false;

	private constructor(
		private readonly _log: Pick<EventLog, 'write'>,
		private readonly _metrics: Pick<DirectMetrics, 'noteClosedConnection'>,
	) {}

	note(reason: string): void {
		this._metrics.noteClosedConnection(reason);
		this._counts.set(reason, (this._counts.get(reason) ?? 0) + 1);
		if (!this._isScheduled) {
			this._isScheduled = true;
			setTimeout(() => {
				this._isScheduled = false;
				this._write();
			}, logIntervalMs).unref();
		}
	}

	private _write(): void {
		for (const [reason, connections] of this._counts) {
			this._log.write({event: 'connectionsClosed', reason, connections});
		}

		this._counts.clear();
	}
}
