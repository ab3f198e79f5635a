import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';
import {
	headerFieldBytes,
	requestBytes,
	type CallerLimits,
	type HostCapacity,
} from '@balsamtray/core';
import {BodyBuffer} from '../intake/body-buffer.js';
import type {CallerConnection} from '../intake/caller-connection.js';
import {CallerIntake} from '../intake/caller-intake.js';
import {ClosedConnections} from '../intake/closed-connections.js';
import {hasBody} from '../intake/has-body.js';
import {readHostCapacity} from '../intake/host-capacity.js';
import {memoryUsedUp} from '../intake/types.js';
import type {CallContext} from './call-context.js';
import type {CallRefusal} from './call-refusal.js';
import {hasCallerLeft, turnsAfterStall} from './caller-presence.js';
import {ProxiedCall} from './proxied-call.js';
import {formatRefusal} from './raw-refusal.js';
import {cutResponse, isFramed} from './response-cut.js';
import type {Endpoint} from './types.js';

/** Interval between checks for requests that exceed the receive timeouts, in milliseconds. */
const timeoutCheckMs = 500;

/** Limits used until the first configuration arrives. */
const initialLimits: CallerLimits = {
	maxHeaderBytes: 16 * 1024,
	maxBodyBytes: 1024 * 1024,
	headerTimeoutMs: 5000,
	idleTimeoutMs: 15_000,
};

/** Accepts callers' connections and reads their requests, within the configured limits. */
export class Ingress {
	/** @param capacity what this process has on its host, which bounds what it keeps for callers */
	static create(
		context: CallContext,
		capacity: HostCapacity = readHostCapacity(),
	): Ingress {
		return new Ingress(context, capacity);
	}

	private readonly _server: Server;
	private readonly _intake: CallerIntake<ProxiedCall>;
	private readonly _running = new Map<ServerResponse, ProxiedCall>();
	private _limits = initialLimits;
	private _accepted = 0;
	/** Resolves when requests are no longer held; undefined if they are not. */
	private _released: Promise<void> | undefined;

	private constructor(
		private readonly _context: CallContext,
		capacity: HostCapacity,
	) {
		const closed = ClosedConnections.create({
			onClosed(reason) {
				_context.metrics.noteClosedConnection(reason);
			},
			onSummary(reason, connections) {
				_context.log.write({event: 'connectionsClosed', reason, connections});
			},
		});
		this._intake = CallerIntake.create({
			clock: _context.clock,
			capacity,
			maxBodyBytes: initialLimits.maxBodyBytes,
			onClosed(reason) {
				closed.note(reason);
			},
		});
		this._server = createServer(
			{
				connectionsCheckingInterval: timeoutCheckMs,
				noDelay: true,
				// A request without a host is refused here, as what its caller sends has to be counted.
				requireHostHeader: false,
			},
			(req, res) => {
				this._take(req, res);
			},
		);
		this._server.on('checkExpectation', (req, res) => {
			this._take(req, res, expectationRefusal);
		});
		this._server.on('connection', socket => {
			this._onConnection(socket);
		});
		this._server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
			if (socket instanceof Socket) {
				this._onClientError(err, socket);
			}
		});
		this.setLimits(initialLimits);
	}

	/** Number of connections that were accepted since the start. */
	get accepted(): number {
		return this._accepted;
	}

	/** Number of requests that have not ended. */
	get running(): number {
		return this._running.size;
	}

	/** Number of connections that this side has not closed. Callers may keep theirs half open after a close. */
	get connections(): number {
		return [...this._intake.connections].filter(({isClosing}) => !isClosing)
			.length;
	}

	/** Memory that is kept for callers, in bytes. */
	get keptBytes(): number {
		return this._intake.keptBytes;
	}

	get isListening(): boolean {
		return this._server.listening;
	}

	async listen({host, port}: Endpoint): Promise<void> {
		return new Promise((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(port, host, 1024, resolve);
		});
	}

	setLimits(limits: CallerLimits): void {
		this._limits = limits;
		this._intake.setMaxBodyBytes(limits.maxBodyBytes);
		this._server.headersTimeout = limits.headerTimeoutMs;
		this._server.requestTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs;
		this._server.keepAliveTimeout = limits.idleTimeoutMs;
		// The parser counts less of a head than this class, so that it ends no request inside the limit.
		Object.assign(this._server, {maxHeaderSize: limits.maxHeaderBytes});
	}

	/** Stops accepting connections. Existing connections continue. */
	stopListening(): void {
		if (this._server.listening) {
			// The HTTP server's own method also closes connections on which a response is ended but not written yet.
			NetServer.prototype.close.call(this._server);
		}
	}

	/**
	 * Holds the requests that arrive from now on: none is refused or sent to a server until the release. Callers that are
	 * refused open their next connection at once.
	 *
	 * @returns the release
	 */
	holdRequests(): () => void {
		let release = () => undefined as void;
		this._released = new Promise(resolve => {
			release = resolve;
		});
		return () => {
			this._released = undefined;
			release();
		};
	}

	/**
	 * Closes the connections without a running request.
	 *
	 * @param minAgeMs time since its start in which a connection is not idle, since its first request may be under way
	 */
	closeIdle(minAgeMs = 0): void {
		for (const connection of this._intake.connections) {
			if (
				connection.requests.size === 0 &&
				this._openMs(connection) >= minAgeMs &&
				!connection.isClosing
			) {
				connection.end();
			}
		}
	}

	/** Whether some connection without a running request was opened so recently that its first one may be under way. */
	hasUnused(maxAgeMs: number): boolean {
		return [...this._intake.connections].some(
			connection =>
				connection.requests.size === 0 &&
				this._openMs(connection) < maxAgeMs &&
				!connection.isClosing,
		);
	}

	/** Ends the running requests, since the process exits: with an error response if the response has not begun. */
	endRunning(): void {
		for (const call of this._running.values()) {
			call.onProcessEnding();
		}
	}

	/** Cuts the running responses that would look complete when the process exits and the system closes their connections. */
	cutUnframed(): void {
		for (const res of this._running.keys()) {
			if (res.headersSent && !isFramed(res)) {
				cutResponse(res);
			}
		}
	}

	dispose(): void {
		this._server.close();
		this._server.closeAllConnections();
	}

	/** @param refusal refusal whatever the request is; undefined without one */
	private _take(
		req: IncomingMessage,
		res: ServerResponse,
		refusal?: CallRefusal,
	): void {
		void this._onRequest(req, res, refusal).catch((error: unknown) => {
			this._onInternalError(req, res, error);
		});
	}

	/** Ends one request whose handling failed. Without this, the error would end the process, and all others with it. */
	private _onInternalError(
		req: IncomingMessage,
		res: ServerResponse,
		error: unknown,
	): void {
		const call = this._running.get(res);
		if (call === undefined) {
			req.socket.destroy();
		} else {
			call.onInternalError(error);
		}
	}

	/** Time since a connection was opened, in milliseconds. */
	private _openMs({openedAt}: CallerConnection<ProxiedCall>): number {
		return this._context.clock() - openedAt;
	}

	private _onConnection(socket: Socket): void {
		this._accepted++;
		this._intake.accept(socket, {format: formatRefusal}, ({requests}) => {
			// Node.js reports the close only to the response whose turn it is.
			for (const [res, call] of requests) {
				this._running.delete(res);
				call.onCallerClosed();
				call.memory.release();
			}
		});
	}

	/** Answers what the parser can't read, or what takes too long to arrive. */
	private _onClientError(
		{code = ''}: NodeJS.ErrnoException,
		socket: Socket,
	): void {
		const connection = this._intake.connectionOf(socket);
		const isEnd = code === 'HPE_INVALID_EOF_STATE';
		if (connection?.isAnnounced === true && isEnd) {
			// What is missing of the request was dropped, and its response may still be on the way.
			socket.end();
		} else if (
			connection === undefined ||
			connection.isClosing ||
			connection.isAnnounced ||
			!socket.writable ||
			(isEnd && connection.requests.size > 0)
		) {
			socket.destroy();
		} else {
			connection.refuse(clientErrors[code] ?? malformedRefusal);
		}
	}

	private async _onRequest(
		req: IncomingMessage,
		res: ServerResponse,
		refusal: CallRefusal | undefined,
	): Promise<void> {
		const {clock, codec} = this._context;
		const {socket} = req;
		const connection = this._intake.connectionOf(socket);
		if (connection === undefined || connection.isClosing) {
			socket.destroy();
			return;
		}

		connection.noteRequest(res, hasBody(req));
		if (connection.isAnnounced) {
			req.resume();
			return;
		}

		const metadata = codec.decodeCall(req.headers);
		const call = ProxiedCall.create(this._context, {
			req,
			res,
			metadata: metadata ?? malformedCallMetadata,
			arrivedAt: clock(),
			sharesConnection: () => connection.requests.size > 1,
			onCloseAnnounced() {
				for (const behind of connection.announceClose(call)) {
					behind.onCallerClosed();
				}
			},
			onEnded: () => {
				this._intake.noteRequestEnd(connection);
			},
			memory: this._intake.memory,
		});
		this._running.set(res, call);
		connection.add(res, call);
		res.once('close', () => {
			this._running.delete(res);
			connection.remove(res);
			call.memory.release();
		});
		const headBytes = headBytesOf(req);
		const fields = req.rawHeaders.length / 2;
		call.memory.noteHead(headBytes + fields * headerFieldBytes);
		if (this._released !== undefined) {
			await this._released;
			if (socket.destroyed) {
				return;
			}
		}

		if (refusal !== undefined || metadata === undefined) {
			call.refuse(refusal ?? malformedRefusal);
			return;
		}

		if (headBytes > this._limits.maxHeaderBytes) {
			call.refuse(headTooLargeRefusal);
			return;
		}

		if (!call.admit()) {
			return;
		}

		const isLate = this._context.isCatchingUp();
		const body = await this._readBody(req, call, connection);
		if (isLate && (await hasCallerLeft(socket, turnsAfterStall))) {
			socket.destroy();
		} else if (body === 'tooLarge') {
			call.refuse(bodyTooLargeRefusal);
		} else if (body !== undefined && !call.isEnded) {
			this._intake.noteWholeRequest(connection);
			await call.run(body);
		}
	}

	/** Reads the body, unless it is too large or there is no memory for it. Refuses the request in the latter case. */
	private async _readBody(
		req: IncomingMessage,
		call: ProxiedCall,
		connection: CallerConnection<ProxiedCall>,
	): Promise<Uint8Array | 'tooLarge' | undefined> {
		const {maxBodyBytes} = this._limits;
		const declaredBytes = Number(req.headers['content-length'] ?? 0);
		if (declaredBytes > maxBodyBytes) {
			return 'tooLarge';
		}

		const retryAfterMs = this._intake.memory.refusedForMs(
			requestBytes + declaredBytes,
		);
		if (retryAfterMs !== undefined) {
			call.refuse(memoryUsedUp(retryAfterMs));
			return undefined;
		}

		return readBody(req, maxBodyBytes, call, connection);
	}
}

const malformedRefusal: CallRefusal = {
	status: 400,
	reason: 'malformed',
	isNotRun: true,
};

const headTooLargeRefusal: CallRefusal = {
	status: 431,
	reason: 'headTooLarge',
	isNotRun: true,
};

/** Refusal of a request whose `expect` header names something else than `100-continue`. */
const expectationRefusal: CallRefusal = {
	status: 417,
	reason: 'expectationUnknown',
	isNotRun: true,
};

const bodyTooLargeRefusal: CallRefusal = {
	status: 413,
	reason: 'bodyTooLarge',
	isNotRun: true,
};

/** Refusals by the error of the parser or the server. */
const clientErrors: Readonly<Record<string, CallRefusal>> = {
	HPE_HEADER_OVERFLOW: headTooLargeRefusal,
	HPE_CHUNK_EXTENSIONS_OVERFLOW: bodyTooLargeRefusal,
	ERR_HTTP_REQUEST_TIMEOUT: {status: 408, reason: 'tooSlow', isNotRun: true},
};

/** Metadata of a request whose headers are malformed. */
const malformedCallMetadata = {
	callId: undefined,
	host: '',
	deadlineMs: undefined,
	key: undefined,
	model: undefined,
	adapter: undefined,
	promptTokens: undefined,
	tokens: undefined,
	session: undefined,
	lastEventId: undefined,
	resumes: undefined,
};

function headBytesOf(req: IncomingMessage): number {
	// Counts 2 bytes for each name (": ") and 2 for each value (CRLF).
	return req.rawHeaders.reduce(
		(sum, text) => sum + text.length + 2,
		(req.url?.length ?? 0) + (req.method?.length ?? 0),
	);
}

/** Reads the complete body. Resolves with undefined if the caller disconnects first, or the request is refused. */
async function readBody(
	req: IncomingMessage,
	maxBytes: number,
	call: ProxiedCall,
	connection: CallerConnection<ProxiedCall>,
): Promise<Uint8Array | 'tooLarge' | undefined> {
	const declaredBytes = Number(req.headers['content-length'] ?? 0);
	return new Promise(resolve => {
		const body = BodyBuffer.create();
		let isTooLarge = false;
		req.on('data', (chunk: Uint8Array) => {
			connection.noteBody(declaredBytes - body.bytes - chunk.length);
			isTooLarge ||= body.bytes + chunk.length > maxBytes;
			if (isTooLarge) {
				body.clear();
				resolve('tooLarge');
				return;
			}

			if (call.isEnded) {
				body.clear();
				resolve(undefined);
				return;
			}

			const {keptBytes} = body;
			body.append(chunk);
			if (body.keptBytes !== keptBytes) {
				call.memory.noteBody(body.keptBytes);
			}
		});
		connection.startBody();
		req.once('end', () => {
			resolve(call.isEnded ? undefined : body.take());
		});
		req.once('close', () => {
			resolve(undefined);
		});
		req.once('error', () => {
			resolve(undefined);
		});
	});
}
