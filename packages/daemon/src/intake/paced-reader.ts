import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {
	maxEventsPerTurn,
	maxHeldBytes,
	partBytes,
	readBytes,
} from './constants.js';
import {readInto} from './read-into.js';

/** All connections read into it, as each read is parsed or copied before the next one. */
const readBuffer = Buffer.allocUnsafeSlow(readBytes);

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
	private _notedBytes = 0;
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
		// eslint-disable-next-line @typescript-eslint/no-restricted-types
		_socket.push = (chunk: Uint8Array | null) =>
			chunk === null ? this._onEnd() : this._onReceived(chunk);
		_socket._read = size => {
			if (!this._isFull) {
				this._read(size);
			}
		};

		// A socket that reads into a buffer stops to read when it is paused, so that the close of its caller is not noticed.
		_socket.pause = () => {
			Readable.prototype.pause.call(_socket);
			return _socket;
		};

		passThroughSocket(_socket);
		readInto(_socket, readBuffer, bytes =>
			this._onReceived(readBuffer.subarray(0, bytes)),
		);
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
			if (!this._isFull && !this._socket.destroyed) {
				this._read(0);
			}
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

	/** The caller has gone, so that nobody waits for the rest. */
	private _onEnd(): boolean {
		this._drop();
		return this._push(null);
	}

	/**
	 * @param chunk valid only during the call
	 * @returns whether the system may read more of the connection
	 */
	private _onReceived(chunk: Uint8Array): boolean {
		if (this._isDiscarding) {
			return true;
		}

		if (!this._isScheduled) {
			this._eventsInTurn = 0;
		}

		this._held.push(chunk);
		this._heldBytes += chunk.length;
		if (!this._isFeeding) {
			this._feed();
		}

		this._copyRest();
		if (chunk.length < readBuffer.length) {
			return !this._isFull;
		}

		// The system reads on in this turn of the event loop as long as it fills the buffer.
		this.resume();
		return false;
	}

	private _parse(part: Uint8Array): void {
		this._socket.emit('data', part);
		this._options.onParsed(part);
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
		this._noteHeld();
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
			this._held[0] = withoutUnused(first.subarray(maxBytes));
		}

		this._heldBytes -= part.length;
		return part;
	}

	/** The next read of any connection overwrites the read buffer. */
	private _copyRest(): void {
		const last = this._held.at(-1);
		if (last?.buffer === readBuffer.buffer) {
			this._held[this._held.length - 1] = new Uint8Array(last);
		}
	}

	private _drop(): void {
		this._held = [];
		this._heldBytes = 0;
		this._noteHeld();
	}

	private _noteHeld(): void {
		if (this._notedBytes !== this._heldBytes) {
			this._notedBytes = this._heldBytes;
			this._options.onHeld(this._heldBytes);
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

/** Copies the rest of a received chunk if most of the chunk is parsed, so that a few bytes don't keep all of its memory. */
function withoutUnused(rest: Uint8Array): Uint8Array {
	const {buffer} = rest;
	return buffer !== readBuffer.buffer && rest.length < buffer.byteLength / 2
		? new Uint8Array(rest)
		: rest;
}

/** Makes Node.js pass what it reads through the socket from now on, and not directly to the parser. */
function passThroughSocket(socket: Socket): void {
	const ignore = () => undefined;
	socket.on('data', ignore);
	socket.off('data', ignore);
}
