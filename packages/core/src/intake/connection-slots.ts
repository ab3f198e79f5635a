/** What becomes of a new connection: it has a place, one that another one gives up for it, or none. */
export type SlotDecision<Connection> =
	| {readonly kind: 'free'}
	| {readonly kind: 'replaces'; readonly connection: Connection}
	| {readonly kind: 'refused'};

/**
 * Decides which connections stay open when there are more than the limit. The one yields that has been without a whole
 * request for the longest time: an ordinary caller sends its request soon after it has connected.
 */
export class ConnectionSlots<Connection> {
	static create<Connection>(
		maxConnections: () => number,
	): ConnectionSlots<Connection> {
		return new ConnectionSlots(maxConnections);
	}

	/** Connections without a whole request, the longest ones first. */
	private readonly _idle = new Set<Connection>();
	/** Number of whole requests that have not ended, by connection. */
	private readonly _requests = new Map<Connection, number>();

	private constructor(private readonly _maxConnections: () => number) {}

	get size(): number {
		return this._idle.size + this._requests.size;
	}

	open(connection: Connection): SlotDecision<Connection> {
		if (this.size < this._maxConnections()) {
			this._idle.add(connection);
			return {kind: 'free'};
		}

		const [longest] = this._idle;
		if (longest === undefined) {
			return {kind: 'refused'};
		}

		this._idle.delete(longest);
		this._idle.add(connection);
		return {kind: 'replaces', connection: longest};
	}

	/** Notes a whole request on a connection. */
	noteRequest(connection: Connection): void {
		if (this._idle.delete(connection)) {
			this._requests.set(connection, 1);
			return;
		}

		const requests = this._requests.get(connection);
		if (requests !== undefined) {
			this._requests.set(connection, requests + 1);
		}
	}

	/** Notes the end of a whole request, after which its response may still have to be read. */
	noteEnd(connection: Connection): void {
		const requests = this._requests.get(connection);
		if (requests === 1) {
			this._requests.delete(connection);
			this._idle.add(connection);
		} else if (requests !== undefined) {
			this._requests.set(connection, requests - 1);
		}
	}

	close(connection: Connection): void {
		this._idle.delete(connection);
		this._requests.delete(connection);
	}
}
