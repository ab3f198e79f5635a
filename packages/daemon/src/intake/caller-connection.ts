import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	headerFieldBytes,
	maxRequestsPerConnection,
	type Holding,
} from '@balsamtray/core';
import type {CallerMemory, MemoryKeeper} from './caller-memory.js';
import {PacedReader} from './paced-reader.js';
import {
	memoryUsedUp,
	type ConnectionRequest,
	type IntakeRefusal,
} from './types.js';

/** Options of `CallerConnection`. */
export type CallerConnectionOptions = {
	readonly clock: () => number;
	readonly memory: CallerMemory;
	/** Formats the response to a request whose headers were not read completely. */
	readonly format: (refusal: IntakeRefusal) => string;
	/** Called when this side closes the connection, with the reason, if it has no request that is logged for itself. */
	readonly onClosed: (reason: string) => void;
};

const newline = 0x0a;

/** A caller's connection, with its requests in order of arrival. Reads no more than the requests that it may have at once. */
export class CallerConnection<
	Request extends ConnectionRequest,
> implements MemoryKeeper {
	static create<Request extends ConnectionRequest>(
		socket: Socket,
		options: CallerConnectionOptions,
	): CallerConnection<Request> {
		return new CallerConnection(socket, options);
	}

	/** Time at which it was opened, in milliseconds. */
	readonly openedAt: number;
	private readonly _requests = new Map<ServerResponse, Request>();
	private readonly _reader: PacedReader;
	private _isClosing = false;
	private _isAnnounced = false;
	/** Response to the request whose body nobody reads yet, so that its chunks would be kept as they come. */
	private _awaitsBody: ServerResponse | undefined;
	/** Bytes that are left of the body that is being read; 0 if its caller announced no length. */
	private _bodyBytesLeft = 0;
	/** Bytes that the parser got since the last request or part of a body, and the lines among them. */
	private _unusedBytes = 0;
	private _unusedLines = 0;
	private _heldBytes = 0;
	private _keptBytes = 0;
	private _keptSince = 0;
	private _wasUsed = false;

	private constructor(
		private readonly _socket: Socket,
		private readonly _options: CallerConnectionOptions,
	) {
		this.openedAt = _options.clock();
		this._reader = PacedReader.create(_socket, {
			mayParse: () =>
				this._awaitsBody === undefined &&
				this._requests.size < maxRequestsPerConnection,
			bodyBytesLeft: () => this._bodyBytesLeft,
			onParsed: part => {
				this._onParsed(part);
			},
			onHeld: bytes => {
				this._heldBytes = bytes;
				this._keep();
			},
		});
	}

	/** Requests whose responses are not written completely. */
	get requests(): ReadonlyMap<ServerResponse, Request> {
		return this._requests;
	}

	/**
	 * Whether this side has closed it. A request that the caller sent before it noticed the close can't get a response, so it
	 * must not run.
	 */
	get isClosing(): boolean {
		return this._isClosing;
	}

	/** Whether a response has announced the close. Requests behind it can't get a response either. */
	get isAnnounced(): boolean {
		return this._isAnnounced;
	}

	add(res: ServerResponse, request: Request): void {
		this._requests.set(res, request);
	}

	remove(res: ServerResponse): void {
		this._requests.delete(res);
		if (this._awaitsBody === res) {
			this._awaitsBody = undefined;
		}

		if (this._heldBytes > 0) {
			this._reader.resume();
		}
	}

	/** Notes that a request's headers were read. One with a body waits until `startBody`. */
	noteRequest(res: ServerResponse, hasBody: boolean): void {
		this._wasUsed = true;
		this._bodyBytesLeft = 0;
		this._awaitsBody = hasBody ? res : undefined;
		this._reader.noteEvent();
	}

	/** Notes that the body of the last request is read from the next turn of the event loop on. */
	startBody(): void {
		this._awaitsBody = undefined;
		this._reader.endTurn();
		if (this._heldBytes > 0) {
			this._reader.resume();
		}
	}

	/** Notes that a part of a body was read. */
	noteBody(bytesLeft: number): void {
		this._wasUsed = true;
		this._bodyBytesLeft = bytesLeft;
		this._reader.noteEvent();
	}

	/** A response announces the close: what follows on the connection is not read any more. Returns the requests behind it. */
	announceClose(announcing: Request): readonly Request[] {
		this._isAnnounced = true;
		this._reader.discard();
		const requests = [...this._requests.values()];
		return requests.slice(requests.indexOf(announcing) + 1);
	}

	/** Closes it in order, as it has no request. */
	end(): void {
		this._isClosing = true;
		this._socket.end();
	}

	/**
	 * Refuses what the caller is sending, and closes the connection. Requests that are read completely still get their
	 * responses, since nothing that is written now would be the response to what is refused.
	 */
	refuse(refusal: IntakeRefusal): void {
		const requests = [...this._requests.values()];
		const reading = requests.find(({isReading}) => isReading);
		const others = requests.filter(request => request !== reading);
		if (reading === undefined) {
			this._options.onClosed(refusal.reason);
			this._reader.discard();
		} else {
			reading.refuse(refusal);
		}

		if (others.some(({isEnded}) => !isEnded)) {
			this._endAfter(others);
		} else if (others.length > 0) {
			// Their caller does not read.
			this._socket.destroy();
		} else if (reading === undefined) {
			this._closeAnswered(refusal);
		}
	}

	/** Closes the connection for others. Without a part of a request, there is nothing to refuse. */
	giveUp(refusal: IntakeRefusal): void {
		if (this._requests.size > 0 || this._unusedBytes + this._heldBytes > 0) {
			this.refuse(refusal);
			return;
		}

		this._options.onClosed(refusal.reason);
		this._isClosing = true;
		this._socket.destroy();
	}

	keptFor(): Pick<Holding, 'stage' | 'since'> {
		return {stage: 'reading', since: this._keptSince};
	}

	yieldMemory(retryAfterMs: number): void {
		this.giveUp(memoryUsedUp(retryAfterMs));
	}

	/** Nothing is kept any more, as it has closed. */
	release(): void {
		this._options.memory.set(this, 0);
		this._keptBytes = 0;
	}

	private _closeAnswered(refusal: IntakeRefusal): void {
		this._isClosing = true;
		if (this._socket.writable && !this._isAnnounced) {
			this._socket.write(this._options.format(refusal));
		}

		this._socket.destroy();
	}

	private _endAfter(requests: readonly Request[]): void {
		if (this._isAnnounced) {
			return;
		}

		this._isAnnounced = true;
		const last = [...this._requests].find(
			([, request]) => request === requests.at(-1),
		);
		last?.[0].once('close', () => {
			this.end();
		});
	}

	private _onParsed(part: Uint8Array): void {
		if (this._wasUsed) {
			this._wasUsed = false;
			this._unusedBytes = 0;
			this._unusedLines = 0;
		} else {
			this._unusedBytes += part.length;
			this._unusedLines += countLines(part);
		}

		this._keep();
	}

	/** Counts what the connection keeps beside its requests: what waits for the parser, and what the parser keeps of a head. */
	private _keep(): void {
		const bytes =
			this._heldBytes +
			this._unusedBytes +
			this._unusedLines * headerFieldBytes;
		if (bytes === this._keptBytes || this._socket.destroyed) {
			return;
		}

		if (this._keptBytes === 0) {
			this._keptSince = this._options.clock();
		}

		this._keptBytes = bytes;
		this._options.memory.set(this, bytes);
	}
}

function countLines(part: Uint8Array): number {
	let lines = 0;
	for (
		let i = part.indexOf(newline);
		i !== -1;
		i = part.indexOf(newline, i + 1)
	) {
		lines++;
	}

	return lines;
}
