import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {ConnectionSlots} from '@balsamtray/core';
import {PacedReader} from './paced-reader.js';

/**
 * Bounds the connections to a small server for processes and tools, and reads one request of each at a time. If there are
 * too many, the connection is closed that has had no request for the longest time.
 */
export class ListenerGuard {
	/** Guards a server that does not listen yet. */
	static attach(server: Server, maxConnections: number): void {
		const guard = new ListenerGuard(maxConnections);
		guard._attach(server);
	}

	private readonly _slots: ConnectionSlots<Socket>;
	private readonly _readers = new WeakMap<Socket, PacedReader>();
	private readonly _busy = new WeakSet<Socket>();

	private constructor(maxConnections: number) {
		this._slots = ConnectionSlots.create(() => maxConnections);
	}

	// False positive: `attach` calls this method.
	// eslint-disable-next-line @typescript-eslint/no-unused-private-class-members
	private _attach(server: Server): void {
		server.on('connection', socket => {
			this._onConnection(socket);
		});
		server.prependListener('request', ({socket}, res) => {
			this._busy.add(socket);
			this._slots.noteRequest(socket);
			res.once('close', () => {
				this._busy.delete(socket);
				this._slots.noteEnd(socket);
				this._readers.get(socket)?.resume();
			});
		});
	}

	private _onConnection(socket: Socket): void {
		this._readers.set(
			socket,
			PacedReader.create(socket, {
				mayParse: () => !this._busy.has(socket),
				bodyBytesLeft: () => 0,
				onParsed: () => undefined,
				onHeld: () => undefined,
			}),
		);
		socket.once('close', () => {
			this._slots.close(socket);
		});
		const decision = this._slots.open(socket);
		if (decision.kind === 'replaces') {
			decision.connection.destroy();
		} else if (decision.kind === 'refused') {
			socket.destroy();
		}
	}
}
