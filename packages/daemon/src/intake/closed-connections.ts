/** Interval at which closed connections are summed up, in milliseconds. */
const summaryIntervalMs = 1000;

/** Options of `ClosedConnections`. */
export type ClosedConnectionsOptions = {
	/** Called for each connection, for a counter. */
	readonly onClosed: (reason: string) => void;
	/** Called at most once a second for each reason, for a log line. */
	readonly onSummary: (reason: string, connections: number) => void;
};

/** Sums up callers' connections that this side closed without a request that is logged for itself. */
export class ClosedConnections {
	static create(options: ClosedConnectionsOptions): ClosedConnections {
		return new ClosedConnections(options);
	}

	private readonly _counts = new Map<string, number>();
	private _isScheduled = false;

	private constructor(private readonly _options: ClosedConnectionsOptions) {}

	note(reason: string): void {
		this._options.onClosed(reason);
		this._counts.set(reason, (this._counts.get(reason) ?? 0) + 1);
		if (!this._isScheduled) {
			this._isScheduled = true;
			setTimeout(() => {
				this._isScheduled = false;
				this._sumUp();
			}, summaryIntervalMs).unref();
		}
	}

	private _sumUp(): void {
		for (const [reason, connections] of this._counts) {
			this._options.onSummary(reason, connections);
		}

		this._counts.clear();
	}
}
