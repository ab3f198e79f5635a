export type PendingQueriesOptions = {
	/** Timeout for the reply to a query, in milliseconds. */
	readonly timeoutMs: number;
	readonly clock: () => number;
	/** Called when a query ends, by its reply or by timeout. */
	readonly onEnded: (
		outcome: 'answered' | 'silent',
		durationMs: number,
	) => void;
};

/** Queries sent by datagram that await their replies. */
export class PendingQueries<Reply> {
	static create<Reply>(options: PendingQueriesOptions): PendingQueries<Reply> {
		return new PendingQueries(options);
	}

	private readonly _pending = new Map<number, (reply: Reply) => void>();
	/** Starts at random, so that a restarted process does not repeat the identifiers of its last queries. */
	private _nextId = Math.floor(Math.random() * 2 ** 31);

	private constructor(private readonly _options: PendingQueriesOptions) {}

	/** Sends a query with a new id. Resolves with undefined on timeout. */
	async query(send: (askId: number) => void): Promise<Reply | undefined> {
		const {timeoutMs, clock, onEnded} = this._options;
		const askId = this._nextId++;
		const startedAt = clock();
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this._pending.delete(askId);
				onEnded('silent', clock() - startedAt);
				resolve(undefined);
			}, timeoutMs);
			this._pending.set(askId, reply => {
				clearTimeout(timer);
				this._pending.delete(askId);
				onEnded('answered', clock() - startedAt);
				resolve(reply);
			});
			send(askId);
		});
	}

	/** Resolves a query with its reply. Late replies and unknown ids are ignored. */
	settle(askId: number, reply: Reply): void {
		this._pending.get(askId)?.(reply);
	}
}
