import type {Socket} from 'node:net';
import {maxEventsPerTurn, maxHeldBytes, partBytes} from './constants.js';

/** Options of `PacedReader`. */
export type PacedReaderOptions = {
	/** Whether the parser may get more now. If not, `resume` says when. */
	readonly mayParse: () => boolean;
	/** Bytes that are certain to belong to the body that is being read. */
	readonly bodyBytesLeft: () => number;
	/** Called after each part that the parser got. */
	readonly onParsed: (part: Uint8Array) => void;
	/** Called when the number of bytes changes that wait for the parser. */
	readonly onHeld: (bytes: number) => void;
};

/** Property of a socket that Node.js does not document. */
type HandleOwner = {
	readonly _handle?: {reading: boolean; readonly readStop: () => void} | null; // eslint-disable-line @typescript-eslint/no-restricted-types
};

/**
 * Gives what a connection of a Node.js HTTP server receives to its parser in parts. Alone, the parser gets up to 64 KB at
 * once, which may hold thousands of requests or chunks; it handles all of them in one turn of the event loop.
 */
export class PacedReader {
	/** @param socket a connection that the server has taken over, before its first byte is read */
	static create(socket: Socket, options: PacedReaderOptions): PacedReader {
		return new PacedReader(socket, options);
	}

	private readonly _push: Socket['push'];
	private readonly _read: Socket['_read'];
	/** Received chunks that the parser has not got. */
	private _held: Uint8Array[] = [];
	private _heldBytes = 0;
	private _eventsInTurn = 0;
	private _isScheduled = false;
	private _isFeeding = false;
	private _isDiscarding = false;

	private constructor(
		private readonly _socket: Socket,
		private readonly _options: PacedReaderOptions,
	) {
		this._push = _socket.push.bind(_socket);
		this._read = _socket._read.bind(_socket);
		_socket.push = (chunk: Uint8Array | null) => this._onReceived(chunk); // eslint-disable-line @typescript-eslint/no-restricted-types
		_socket._read = size => {
			if (!this._isFull) {
				this._read(size);
			}
		};

		passThroughSocket(_socket);
		_socket.on('resume', () => {
			if (this._isFull) {
				this._stopReading();
			}

			if (this._heldBytes > 0) {
				this.resume();
			}
		});
	}

	/** Counts a request or a chunk of a body. */
	noteEvent(): void {
		this._eventsInTurn++;
	}

	/** Gives the parser nothing more in this turn of the event loop. */
	endTurn(): void {
		this._eventsInTurn = maxEventsPerTurn;
	}

	/** Goes on in the next turn of the event loop. */
	resume(): void {
		if (this._isScheduled) {
			return;
		}

		this._isScheduled = true;
		setImmediate(() => {
			this._isScheduled = false;
			this._eventsInTurn = 0;
			this._feed();
		});
	}

	/** Drops all that has not been parsed and all that follows. The end of the connection is still noticed. */
	discard(): void {
		const isStopped = this._isFull;
		this._isDiscarding = true;
		this._drop();
		if (isStopped && !this._socket.destroyed) {
			this._read(0);
		}
	}

	private get _isFull(): boolean {
		return this._heldBytes >= maxHeldBytes;
	}

	/** Returns whether the system may read more of the connection. */
	// eslint-disable-next-line @typescript-eslint/no-restricted-types
	private _onReceived(chunk: Uint8Array | null): boolean {
		if (chunk === null) {
			// The caller has gone, so that nobody waits for the rest.
			this._drop();
			return this._push(null);
		}

		if (this._isDiscarding) {
			return true;
		}

		if (!this._isScheduled) {
			this._eventsInTurn = 0;
		}

		if (
			chunk.length <= partBytes &&
			this._heldBytes === 0 &&
			!this._isScheduled &&
			!this._socket.isPaused() &&
			this._options.mayParse()
		) {
			return this._parse(chunk);
		}

		this._held.push(chunk);
		this._heldBytes += chunk.length;
		if (!this._isFeeding) {
			this._feed();
		}

		return !this._isFull;
	}

	private _parse(part: Uint8Array): boolean {
		const isReadOn = this._push(part);
		this._options.onParsed(part);
		return isReadOn;
	}

	private _feed(): void {
		const before = this._heldBytes;
		this._isFeeding = true;
		while (this._mayFeed) {
			if (this._eventsInTurn >= maxEventsPerTurn) {
				this.resume();
				break;
			}

			const bodyBytes = this._options.bodyBytesLeft();
			this._parse(this._take(Math.max(partBytes, bodyBytes)));
		}

		this._isFeeding = false;
		if (this._heldBytes > 0 || before > 0) {
			this._options.onHeld(this._heldBytes);
		}

		if (before >= maxHeldBytes && !this._isFull && !this._socket.destroyed) {
			this._read(0);
		}
	}

	private get _mayFeed(): boolean {
		const {_socket: socket} = this;
		return (
			this._heldBytes > 0 &&
			!socket.destroyed &&
			!socket.isPaused() &&
			this._options.mayParse()
		);
	}

	private _take(maxBytes: number): Uint8Array {
		const first = this._held[0]!;
		const part = first.subarray(0, maxBytes);
		if (part.length === first.length) {
			this._held.shift();
		} else {
			this._held[0] = first.subarray(maxBytes);
		}

		this._heldBytes -= part.length;
		return part;
	}

	private _drop(): void {
		this._held = [];
		if (this._heldBytes > 0) {
			this._heldBytes = 0;
			this._options.onHeld(0);
		}
	}

	/** A resumed socket has begun to read again. */
	private _stopReading(): void {
		const {_handle: handle} = this._socket as Socket & HandleOwner;
		if (handle?.reading === true) {
			handle.reading = false;
			handle.readStop();
		}
	}
}

/** Makes Node.js pass what it reads through the socket from now on, and not directly to the parser. */
function passThroughSocket(socket: Socket): void {
	const ignore = () => undefined;
	socket.on('data', ignore);
	socket.off('data', ignore);
}
