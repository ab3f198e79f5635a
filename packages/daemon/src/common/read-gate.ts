import type {Socket} from 'node:net';

/**
 * Maximum size of one read, in bytes, which a usual head fits in. The undici parser finishes what it was given even after
 * an error, and creates a further error for each field beyond its limit.
 */
const maxReadBytes = 4 * 1024;

/**
 * Pauses the reading of a socket without its reader's knowledge. Pausing the undici client instead fails: it does not
 * expect the connection of a paused response to end.
 */
export class ReadGate {
	/** @param onRead called before each read that may return data. It may destroy the socket. */
	static create(socket: Socket, onRead: (gate: ReadGate) => void): ReadGate {
		return new ReadGate(socket, onRead);
	}

	private _isClosed = false;
	private _unusedBytes = 0;

	private constructor(
		private readonly _socket: Socket,
		onRead: (gate: ReadGate) => void,
	) {
		const read = _socket.read.bind(_socket);
		_socket.read = size => {
			// A read of zero bytes returns no data; Node.js uses it to receive more.
			if (this._isClosed && size !== 0) {
				return null;
			}

			onRead(this);
			if (_socket.destroyed) {
				return null;
			}

			const chunk: unknown = read(
				size ?? (Math.min(_socket.readableLength, maxReadBytes) || undefined),
			);
			if (chunk instanceof Uint8Array) {
				this._unusedBytes += chunk.length;
			}

			return chunk;
		};
	}

	/** Number of bytes that were read since `noteUse`. */
	get unusedBytes(): number {
		return this._unusedBytes;
	}

	/** Records that the bytes read so far were of use to the reader. */
	noteUse(): void {
		this._unusedBytes = 0;
	}

	get isClosed(): boolean {
		return this._isClosed;
	}

	close(): void {
		this._isClosed = true;
	}

	open(): void {
		if (!this._isClosed) {
			return;
		}

		this._isClosed = false;
		if (!this._socket.destroyed) {
			this._socket.emit('readable');
		}
	}
}
