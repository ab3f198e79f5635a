import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {
	deriveIntakeLimits,
	headerFieldBytes,
	requestBytes,
	type CallerLimits,
	type HostCapacity,
	type IntakeLimits,
} from '@balsamtray/core';
import {BodyBuffer} from '../intake/body-buffer.js';
import {CallerMemory} from '../intake/caller-memory.js';
import {readHostCapacity} from '../intake/host-capacity.js';
import type {CallContext} from './call-context.js';
import {unavailable} from './call-refusal.js';
import {hasCallerLeft, turnsAfterStall} from './caller-presence.js';
import {ProxiedCall} from './proxied-call.js';
import {cutResponse, isFramed} from './response-cut.js';
import type {Endpoint} from './types.js';

/** Maximum size of request headers for the HTTP parser, in bytes. The lower configured limit is checked afterwards. */
const maxHeadBytes = 64 * 1024;

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
	/** Open connections, each with its running requests in order of arrival. */
	private readonly _runningBySocket = new Map<
		Socket,
		Map<ServerResponse, ProxiedCall>
	>();

	private readonly _openedAt = new WeakMap<Socket, number>();
	/**
	 * Connections that this side has closed. A request that the caller sent before it noticed the close can't get a
	 * response, so it must not run.
	 */
	private readonly _closing = new WeakSet<Socket>();
	/** Connections with a response that announced the close. Requests behind it can't get a response either. */
	private readonly _announced = new WeakSet<Socket>();
	private readonly _running = new Map<ServerResponse, ProxiedCall>();
	private readonly _memory: CallerMemory;
	private _limits = initialLimits;
	private _intakeLimits: IntakeLimits;
	private _accepted = 0;
	/** Resolves when requests are no longer held; undefined if they are not. */
	private _released: Promise<void> | undefined;

	private constructor(
		private readonly _context: CallContext,
		private readonly _capacity: HostCapacity,
	) {
		this._intakeLimits = deriveIntakeLimits(
			_capacity,
			initialLimits.maxBodyBytes,
		);
		this._memory = CallerMemory.create({
			clock: _context.clock,
			maxBytes: () => this._intakeLimits.maxBytes,
		});
		this._server = createServer(
			{
				maxHeaderSize: maxHeadBytes,
				connectionsCheckingInterval: timeoutCheckMs,
				noDelay: true,
			},
			(req, res) => {
				void this._onRequest(req, res).catch((error: unknown) => {
					this._onInternalError(req, res, error);
				});
			},
		);
		this._server.on('connection', socket => {
			this._accepted++;
			this._openedAt.set(socket, this._context.clock());
			this._runningBySocket.set(socket, new Map());
			socket.once('close', () => {
				// Node.js reports the close only to the response whose turn it is.
				for (const [res, call] of this._runningBySocket.get(socket) ?? []) {
					this._running.delete(res);
					call.onCallerClosed();
					call.memory.release();
				}

				this._runningBySocket.delete(socket);
			});
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
		return [...this._runningBySocket.keys()].filter(
			socket => !this._closing.has(socket),
		).length;
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
		this._intakeLimits = deriveIntakeLimits(
			this._capacity,
			limits.maxBodyBytes,
		);
		this._server.headersTimeout = limits.headerTimeoutMs;
		this._server.requestTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs;
		this._server.keepAliveTimeout = limits.idleTimeoutMs;
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
		for (const [socket, running] of this._runningBySocket) {
			if (
				running.size === 0 &&
				this._openMs(socket) >= minAgeMs &&
				!this._closing.has(socket)
			) {
				this._closing.add(socket);
				socket.end();
			}
		}
	}

	/** Whether some connection without a running request was opened so recently that its first one may be under way. */
	hasUnused(maxAgeMs: number): boolean {
		return [...this._runningBySocket].some(
			([socket, running]) =>
				running.size === 0 &&
				this._openMs(socket) < maxAgeMs &&
				!this._closing.has(socket),
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

	/** Ends the requests behind one whose response announces the close, since theirs can't be delivered. */
	private _onCloseAnnounced(socket: Socket, announcing: ProxiedCall): void {
		this._announced.add(socket);
		const running = [...(this._runningBySocket.get(socket)?.values() ?? [])];
		for (const call of running.slice(running.indexOf(announcing) + 1)) {
			call.onCallerClosed();
		}
	}

	/** Time since a connection was opened, in milliseconds. */
	private _openMs(socket: Socket): number {
		return this._context.clock() - (this._openedAt.get(socket) ?? 0);
	}

	private async _onRequest(
		req: IncomingMessage,
		res: ServerResponse,
	): Promise<void> {
		const {clock, codec} = this._context;
		const {socket} = req;
		if (this._closing.has(socket)) {
			socket.destroy();
			return;
		}

		if (this._announced.has(socket)) {
			// What follows is read until the close, so that a caller that leaves is noticed.
			req.resume();
			return;
		}

		const metadata = codec.decodeCall(req.headers);
		const call = ProxiedCall.create(this._context, {
			req,
			res,
			metadata: metadata ?? malformedCallMetadata,
			arrivedAt: clock(),
			sharesConnection: () =>
				(this._runningBySocket.get(socket)?.size ?? 0) > 1,
			onCloseAnnounced: () => {
				this._onCloseAnnounced(socket, call);
			},
			memory: this._memory,
		});
		this._running.set(res, call);
		this._runningBySocket.get(socket)?.set(res, call);
		res.once('close', () => {
			this._running.delete(res);
			this._runningBySocket.get(socket)?.delete(res);
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

		if (metadata === undefined) {
			call.refuse({status: 400, reason: 'malformed', isNotRun: true});
			return;
		}

		if (headBytes > this._limits.maxHeaderBytes) {
			call.refuse({status: 431, reason: 'headTooLarge', isNotRun: true});
			return;
		}

		if (!call.admit()) {
			return;
		}

		const declaredBytes = Number(req.headers['content-length'] ?? 0);
		const {maxBodyBytes} = this._limits;
		const retryAfterMs =
			declaredBytes > maxBodyBytes
				? undefined
				: this._memory.refusedForMs(requestBytes + declaredBytes);
		if (retryAfterMs !== undefined) {
			call.refuse({...unavailable('memoryUsedUp'), retryAfterMs});
			return;
		}

		const isLate = this._context.isCatchingUp();
		const body =
			declaredBytes > maxBodyBytes
				? 'tooLarge'
				: await readBody(req, maxBodyBytes, call);
		if (isLate && (await hasCallerLeft(socket, turnsAfterStall))) {
			socket.destroy();
		} else if (body === 'tooLarge') {
			call.refuse({status: 413, reason: 'bodyTooLarge', isNotRun: true});
		} else if (body !== undefined) {
			await call.run(body);
		}
	}
}

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
): Promise<Uint8Array | 'tooLarge' | undefined> {
	return new Promise(resolve => {
		const body = BodyBuffer.create();
		let isTooLarge = false;
		req.on('data', (chunk: Uint8Array) => {
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
