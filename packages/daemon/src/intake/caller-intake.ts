import type {Socket} from 'node:net';
import {
	connectionBytes,
	ConnectionSlots,
	deriveIntakeLimits,
	type HostCapacity,
	type IntakeLimits,
} from '@balsamtray/core';
import {CallerConnection} from './caller-connection.js';
import {CallerMemory} from './caller-memory.js';
import {connectionRetryAfterMs} from './constants.js';
import {
	connectionsUsedUp,
	type ConnectionRequest,
	type IntakeRefusal,
} from './types.js';

/** Options of `CallerIntake`. */
export type CallerIntakeOptions = {
	readonly clock: () => number;
	/** What the process has on its host. */
	readonly capacity: HostCapacity;
	/** Largest body of a request, in bytes. */
	readonly maxBodyBytes: number;
	/** Called when a connection is closed without a request that could be answered. */
	readonly onClosed: (reason: string) => void;
};

/** What one listener does with its connections. */
export type ListenerOptions = {
	/** Formats the response to a request whose headers were not read completely. */
	readonly format: (refusal: IntakeRefusal) => string;
};

/** All connections of callers to a process. Bounds their number and the memory that is kept for them. */
export class CallerIntake<Request extends ConnectionRequest> {
	static create<Request extends ConnectionRequest>(
		options: CallerIntakeOptions,
	): CallerIntake<Request> {
		return new CallerIntake(options);
	}

	/** Memory that is kept for the requests and connections. */
	readonly memory: CallerMemory;
	private readonly _connections = new Map<Socket, CallerConnection<Request>>();
	private readonly _slots = ConnectionSlots.create<CallerConnection<Request>>(
		() => this._limits.maxConnections,
	);

	private _limits: IntakeLimits;

	private constructor(private readonly _options: CallerIntakeOptions) {
		const {clock, capacity, maxBodyBytes} = _options;
		this._limits = deriveIntakeLimits(capacity, maxBodyBytes);
		this.memory = CallerMemory.create({
			clock,
			maxBytes: () => this._limits.maxBytes - this._connectionsBytes,
		});
	}

	/** Open connections, those that this side has ended included. */
	get connections(): Iterable<CallerConnection<Request>> {
		return this._connections.values();
	}

	/** Memory that is kept for callers, in bytes. */
	get keptBytes(): number {
		return this.memory.bytes + this._connectionsBytes;
	}

	connectionOf(socket: Socket): CallerConnection<Request> | undefined {
		return this._connections.get(socket);
	}

	setMaxBodyBytes(bytes: number): void {
		this._limits = deriveIntakeLimits(this._options.capacity, bytes);
	}

	/**
	 * Takes a new connection, for which another one may have to yield.
	 *
	 * @param onClosed called when it has closed, with the requests that have not ended
	 */
	accept(
		socket: Socket,
		{format}: ListenerOptions,
		onClosed: (connection: CallerConnection<Request>) => void,
	): void {
		const connection = CallerConnection.create<Request>(socket, {
			clock: this._options.clock,
			memory: this.memory,
			format,
			onClosed: this._options.onClosed,
		});
		this._connections.set(socket, connection);
		socket.once('close', () => {
			onClosed(connection);
			connection.release();
			this._slots.close(connection);
			this._connections.delete(socket);
		});
		const decision = this._slots.open(connection);
		if (decision.kind !== 'free') {
			const yielding =
				decision.kind === 'replaces' ? decision.connection : connection;
			yielding.giveUp(connectionsUsedUp(connectionRetryAfterMs));
		}
	}

	/** Notes that a request of the connection is read completely, so that the connection does not yield to others. */
	noteWholeRequest(connection: CallerConnection<Request>): void {
		this._slots.noteRequest(connection);
	}

	/** Notes that such a request has ended, but for the rest of its response that its caller has to read. */
	noteRequestEnd(connection: CallerConnection<Request>): void {
		this._slots.noteEnd(connection);
	}

	private get _connectionsBytes(): number {
		return this._slots.size * connectionBytes;
	}
}
